package comfreyprocess

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyconfig"
	"comfreyridge.example/comfreyridge/comfreyfleet"
)

// viewOf converts a host list that arrived at now.
func viewOf(l comfreyconfig.HostList, now time.Time) comfreyfleet.View {
	members := make([]comfreyfleet.Member, 0, len(l.Hosts))
	for _, h := range l.Hosts {
		members = append(members, memberOf(h))
	}
	return comfreyfleet.NewView(l.Number, now.Add(-comfreyfleet.MaxListLag), members)
}

func memberOf(h comfreyconfig.Host) comfreyfleet.Member {
	m := comfreyfleet.Member{Host: h.Host, DataCentre: h.DataCentre, Address: h.Address, Service: h.Service}
	if h.Role == comfreyconfig.HostRoleGateway {
		m.Role = comfreyfleet.RoleGateway
		m.Service = ""
	}
	if h.State != comfreyconfig.HostStateLive {
		m.State = comfreyfleet.StateLeaving
	}
	if h.Fencing == comfreyconfig.FencingEnforced {
		m.Fencing = comfreyfleet.FencingEnforced
	}
	return m
}
