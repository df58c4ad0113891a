package comfreyorder

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"strings"
	"time"
)

// The errors of ParseTicket.
var (
	// ErrTicketVersion means that the text does not start with a ticket version
	// that this build supports.
	ErrTicketVersion = errors.New("comfreyorder: unknown ticket version")
	// ErrTicketMalformed means that the text is not the canonical form of any
	// ticket.
	ErrTicketMalformed = errors.New("comfreyorder: malformed ticket")
	// ErrTicketForged means that the ticket was not authenticated with this key.
	ErrTicketForged = errors.New("comfreyorder: ticket has a wrong authentication code")
)

const (
	ticketPrefix = "t1."
	// macContext separates the authentication codes of tickets from other uses
	// of the same key.
	macContext = "comfreyridge order ticket 1\x00"
	// maxTicketChars limits the text that is decoded before its authentication
	// code is checked.
	maxTicketChars = 2048
)

var ticketEncoding = base64.RawURLEncoding.Strict()

// Format returns the URL-safe text of t, authenticated with key. If a name is
// longer than 255 bytes, ParseTicket refuses the text.
func (t Ticket) Format(key []byte) string {
	b := t.payload()
	b = append(b, ticketMAC(b, key)...)
	return ticketPrefix + ticketEncoding.EncodeToString(b)
}

// ParseTicket returns the ticket that Format encoded with the same key. It
// returns ErrTicketVersion, ErrTicketMalformed or ErrTicketForged for any other
// text. Each ticket has exactly one text that is accepted.
func ParseTicket(s string, key []byte) (Ticket, error) {
	e, ok := strings.CutPrefix(s, ticketPrefix)
	if !ok {
		return Ticket{}, ErrTicketVersion
	}
	if len(e) > maxTicketChars {
		return Ticket{}, ErrTicketMalformed
	}
	b, err := ticketEncoding.DecodeString(e)
	if err != nil || len(b) < sha256.Size || ticketEncoding.EncodeToString(b) != e {
		return Ticket{}, ErrTicketMalformed
	}
	p, m := b[:len(b)-sha256.Size], b[len(b)-sha256.Size:]
	if !hmac.Equal(m, ticketMAC(p, key)) {
		return Ticket{}, ErrTicketForged
	}
	return parsePayload(p)
}

func ticketMAC(payload, key []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(macContext))
	h.Write(payload)
	return h.Sum(nil)
}

func (t Ticket) payload() []byte {
	b := make([]byte, 0, 128)
	b = append(b, t.Nonce[:]...)
	b = binary.BigEndian.AppendUint64(b, t.OwnerIncarnation)
	b = binary.BigEndian.AppendUint64(b, uint64(t.Expiry.UnixMilli()))
	for _, s := range []string{t.OwnerHost, t.Customer, t.Service} {
		b = binary.BigEndian.AppendUint16(b, uint16(min(len(s), maxNameBytes+1)))
		b = append(b, s...)
	}
	return b
}

func parsePayload(b []byte) (Ticket, error) {
	var t Ticket
	if len(b) < len(t.Nonce)+16 {
		return Ticket{}, ErrTicketMalformed
	}
	b = b[copy(t.Nonce[:], b):]
	t.OwnerIncarnation = binary.BigEndian.Uint64(b)
	t.Expiry = time.UnixMilli(int64(binary.BigEndian.Uint64(b[8:])))
	b = b[16:]
	for _, s := range []*string{&t.OwnerHost, &t.Customer, &t.Service} {
		n, ok := cutName(&b)
		if !ok {
			return Ticket{}, ErrTicketMalformed
		}
		*s = n
	}
	if len(b) != 0 {
		return Ticket{}, ErrTicketMalformed
	}
	return t, nil
}

// cutName removes a name with its length prefix from the front of b.
func cutName(b *[]byte) (string, bool) {
	if len(*b) < 2 {
		return "", false
	}
	n := int(binary.BigEndian.Uint16(*b))
	if n > maxNameBytes || len(*b) < 2+n {
		return "", false
	}
	s := string((*b)[2 : 2+n])
	*b = (*b)[2+n:]
	return s, true
}
