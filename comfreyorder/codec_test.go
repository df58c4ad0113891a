package comfreyorder_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyorder"
)

var key = []byte("a key shared by the processes of one fleet")

func sampleTicket() comfreyorder.Ticket {
	return comfreyorder.Ticket{
		OwnerHost:        "10.2.0.17:7000",
		OwnerIncarnation: 1764796800000000000,
		Nonce:            comfreyorder.Nonce{1, 2, 3},
		Customer:         "gravure-pierre",
		Service:          "slab-orders",
		Expiry:           time.UnixMilli(1764796800123),
	}
}

func TestParseTicketErrors(t *testing.T) {
	s := sampleTicket().Format(key)
	long := sampleTicket()
	long.Customer = strings.Repeat("c", 256)
	huge := sampleTicket()
	huge.Service = strings.Repeat("s", 1<<16+3)
	for _, c := range []struct {
		name string
		text string
		key  []byte
		want error
	}{
		{"empty", "", key, comfreyorder.ErrTicketVersion},
		{"other version", "t2" + s[2:], key, comfreyorder.ErrTicketVersion},
		{"not base64", s[:10] + "*" + s[11:], key, comfreyorder.ErrTicketMalformed},
		{"line break", s[:10] + "\n" + s[10:], key, comfreyorder.ErrTicketMalformed},
		{"short", s[:20], key, comfreyorder.ErrTicketMalformed},
		{"cut", s[:len(s)-4], key, comfreyorder.ErrTicketMalformed},
		{"other key", s, []byte("another key"), comfreyorder.ErrTicketForged},
		{"long name", long.Format(key), key, comfreyorder.ErrTicketMalformed},
		{"huge name", huge.Format(key), key, comfreyorder.ErrTicketMalformed},
	} {
		if _, err := comfreyorder.ParseTicket(c.text, c.key); !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, err, c.want)
		}
	}
}

func TestParseTicketRefusesAnyChangedByte(t *testing.T) {
	s := sampleTicket().Format(key)
	for i := range s {
		b := []byte(s)
		b[i] ^= 1
		if _, err := comfreyorder.ParseTicket(string(b), key); err == nil {
			t.Errorf("ticket with a changed byte %d was accepted: %s", i, b)
		}
	}
}

func FuzzParseTicket(f *testing.F) {
	s := sampleTicket().Format(key)
	f.Add(s)
	f.Add("")
	f.Add("t1.")
	f.Add("t1.AAAA")
	f.Add(s[:len(s)-1])
	f.Add(s + "A")
	f.Add(strings.ToUpper(s))
	f.Add((comfreyorder.Ticket{}).Format(key))
	f.Fuzz(func(t *testing.T, s string) {
		k, err := comfreyorder.ParseTicket(s, key)
		if err != nil {
			return
		}
		if k.Format(key) != s {
			t.Errorf("%q was accepted but is not canonical", s)
		}
	})
}
