package comfreyreplay

import "slices"

// prefixCache holds the prompt prefixes that an engine has computed, the least
// recently used one first.
type prefixCache struct {
	limit   int
	used    int
	entries []prefixEntry
}

// prefixEntry is one cached prefix.
type prefixEntry struct {
	name   string
	tokens int
}

// touch puts a prefix into the cache and reports whether it was there.
func (p *prefixCache) touch(name string, tokens int) bool {
	if name == "" || tokens == 0 || tokens > p.limit {
		return false
	}
	i := slices.IndexFunc(p.entries, func(e prefixEntry) bool { return e.name == name })
	if i >= 0 {
		e := p.entries[i]
		p.entries = append(slices.Delete(p.entries, i, i+1), e)
		return true
	}
	for p.used+tokens > p.limit {
		p.used -= p.entries[0].tokens
		p.entries = slices.Delete(p.entries, 0, 1)
	}
	p.entries = append(p.entries, prefixEntry{name: name, tokens: tokens})
	p.used += tokens
	return false
}
