package config

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// choices makes random choices from bytes that gopter generates, so that gopter
// can shrink a failing case. After the last byte every choice is 0.
type choices struct{ bytes []uint8 }

// pick returns a number from 0 to n-1.
func (c *choices) pick(n int) int {
	if len(c.bytes) == 0 {
		return 0
	}
	value := int(c.bytes[0]) % n
	c.bytes = c.bytes[1:]
	return value
}

// generateDocuments returns the YAML documents of a random valid configuration.
// It uses few names and addresses, so that addresses often move between services.
func generateDocuments(c *choices) []string {
	documents := []string{"kind: Place\nname: oita\n"}
	if c.pick(2) == 1 {
		documents = append(documents, "kind: Place\nname: fukuoka\ndata_centre: hakata\n")
	}
	places := len(documents)
	documents = append(documents, generatePolicyDocuments(c)...)
	usedServiceAddress := map[int]bool{}
	usedEndpoint := map[int]bool{}
	usedAddress := map[int]bool{}
	usedPlace := map[int]bool{0: true}
	for service := range 4 {
		address := c.pick(6)
		if service > 0 && (c.pick(3) == 0 || usedServiceAddress[address]) {
			continue
		}
		usedServiceAddress[address] = true
		name := fmt.Sprintf("service-%d", service)
		var endpoints strings.Builder
		for range 1 + c.pick(3) {
			endpoint, host, place := c.pick(8), c.pick(8), c.pick(places)
			if usedEndpoint[endpoint] || usedAddress[host] {
				continue
			}
			usedEndpoint[endpoint], usedAddress[host], usedPlace[place] = true, true, true
			fmt.Fprintf(&endpoints, "  - {name: e-%d, place: %s, address: \"10.0.0.%d:6081\", health: \"10.0.0.%d:80\", weight: %d}\n",
				endpoint, []string{"oita", "fukuoka"}[place], host+1, host+1, 1+c.pick(9))
		}
		if endpoints.Len() == 0 {
			// A set must not be empty. No other service uses this address.
			fmt.Fprintf(&endpoints, "  - {name: own-%d, place: oita, address: \"10.0.1.%d:6081\", health: \"10.0.1.1:80\"}\n", service, service+1)
		}
		documents = append(documents,
			fmt.Sprintf("kind: Service\nname: %s\naddress: 198.51.100.%d\nport: 443\nprotocol: tcp\n", name, address+1),
			fmt.Sprintf("kind: BackendSet\nname: %s\nendpoints:\n%s", name, endpoints.String()),
			fmt.Sprintf("kind: Rule\nname: %s\nservice: %s\nbackend_set: %s\n", name, name, name))
	}
	return documents
}

// generatePolicyDocuments returns no documents, or a chain of policies and a
// service that uses the last of them.
func generatePolicyDocuments(c *choices) []string {
	if c.pick(2) == 0 {
		return nil
	}
	return []string{
		fmt.Sprintf("kind: Policy\nname: base\nbound: %d%%\n", 100+c.pick(50)),
		fmt.Sprintf("kind: Policy\nname: middle\nextends: base\nslow_start: %dms\n", c.pick(200)),
		"kind: Policy\nname: leaf\nextends: middle\n---\n" +
			"kind: Service\nname: extra\naddress: 198.51.100.100\nport: 53\nprotocol: udp\nidempotent: true\npolicy: leaf\n---\n" +
			"kind: BackendSet\nname: extra\nendpoints:\n" +
			"  - {name: extra, place: oita, address: \"10.0.2.1:6081\", health: \"10.0.2.1:80\"}\n---\n" +
			"kind: Rule\nname: extra\nservice: extra\nbackend_set: extra\nplaces: [oita]\n",
	}
}

// distributeOverFiles puts the documents into fileCount files in turn.
func distributeOverFiles(documents []string, fileCount int) []File {
	texts := make([][]string, fileCount)
	for i, document := range documents {
		texts[i%fileCount] = append(texts[i%fileCount], document)
	}
	files := make([]File, fileCount)
	for i := range files {
		files[i] = File{Name: fmt.Sprintf("%d.yaml", i), Content: []byte(strings.Join(texts[i], "---\n"))}
	}
	return files
}

// targetScaleYAML returns the YAML of a configuration with the numbers of services
// and endpoints of docs/design.md section 1.6.
func targetScaleYAML() string {
	return scaledYAML(1_900, 14_000)
}

// scaledYAML returns the YAML of a configuration with the given numbers of
// services and endpoints. Addresses and weights are random, so that they do not
// compress better than real ones.
func scaledYAML(services, endpoints int) string {
	rng := rand.New(rand.NewPCG(1, 0))
	var text strings.Builder
	for place := range 12 {
		fmt.Fprintf(&text, "kind: Place\nname: dc-%02d\n---\n", place)
	}
	for policy := range 20 {
		fmt.Fprintf(&text, "kind: Policy\nname: policy-%02d\nbound: %d%%\nidle_timeout: %ds\n---\n",
			policy, 100+rng.IntN(100), 60+rng.IntN(3600))
	}
	hosts := rng.Perm(1 << 18)
	next := 0
	for service := range services {
		name := fmt.Sprintf("service-%04d", service)
		fmt.Fprintf(&text, "kind: Service\nname: %s\naddress: 203.%d.%d.%d\nport: %d\nprotocol: tcp\npolicy: policy-%02d\n---\n",
			name, rng.IntN(256), service>>8, service&255, 1+rng.IntN(65535), service%20)
		fmt.Fprintf(&text, "kind: Rule\nname: %s\nservice: %s\nbackend_set: %s\n---\n", name, name, name)
		fmt.Fprintf(&text, "kind: BackendSet\nname: %s\nendpoints:\n", name)
		for end := endpoints * (service + 1) / services; next < end; next++ {
			host := hosts[next]
			address := fmt.Sprintf("10.%d.%d.%d", host>>16, host>>8&255, host&255)
			fmt.Fprintf(&text, "  - name: %s-%05x\n    place: dc-%02d\n    address: %s:6081\n    health: %s:%d\n    weight: %d\n",
				name, rng.IntN(1<<20), rng.IntN(12), address, address, 8000+rng.IntN(4), 50+rng.IntN(100))
		}
		text.WriteString("---\n")
	}
	return text.String()
}
