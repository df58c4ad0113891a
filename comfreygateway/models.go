package comfreygateway

import (
	"encoding/json"
	"net/http"

	"comfreyridge.example/comfreyridge/comfreyconfig"
)

// modelList is the OpenAI-style list of the services that a caller can name as
// the model of a request.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// serveModels serves GET /v1/models.
func (g *Gateway) serveModels(w http.ResponseWriter, r *http.Request) {
	if _, _, ok := g.beginRequest(w, r); !ok {
		return
	}
	l := modelList{Object: "list", Data: []model{}}
	for _, v := range g.config.Settings().Services() {
		if v.Kind == comfreyconfig.ServiceKindGeneration {
			l.Data = append(l.Data, model{ID: v.Name, Object: "model", OwnedBy: "comfreyridge"})
		}
	}
	writeJSON(w, http.StatusOK, l)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
