package document

// emptyKeyHash is the hash of the empty key, which would let in any caller that
// sends none.
var emptyKeyHash = HashKey("")

func (c *checker) checkAccounts() {
	accounts := newNames(c.problems, "account")
	keys := newNames(c.problems, "key hash")
	for i := range c.d.Accounts {
		a := &c.d.Accounts[i]
		at := path{"accounts"}.index(i)
		accounts.see(at.field("name"), a.Name)
		for j, hash := range a.KeyHashes {
			keys.see(at.field("keyHashes").index(j), hash)
			if hash == emptyKeyHash {
				c.add(at.field("keyHashes").index(j), "make a key with hitchctl key new", "is the hash of an empty key")
			}
		}
		c.checkGrants(at, a)
		c.checkAccountServices(at, a)
		c.checkLimits(at, a)
	}
}

func (c *checker) checkGrants(at path, a *Account) {
	if len(a.Serves) == 0 && len(a.Services) == 0 && !c.anyRefused(at, "serves", "services") {
		c.add(at, "grant it a model under serves or a service under services, or remove the account",
			"account %q has no grant, so every call would be refused", a.Name)
	}
	first := make(map[[2]string]int)
	for i, g := range a.Serves {
		here := at.field("serves").index(i)
		names := c.checkVersion(here, g.Model, g.Version)
		c.checkAdapter(here.field("adapter"), names, g.Model, g.Adapter)
		if g.Class != "" && !c.classes[g.Class] && !c.refused(here.field("class")) {
			c.add(here.field("class"), "add the class under classes, or correct the name", "is %q, which is no class of this document", g.Class)
		}
		key := [2]string{g.Model, g.Adapter}
		if j, twice := first[key]; twice && !c.anyRefused(here, "model", "adapter") {
			c.add(here, "keep one of the two; only the first would ever be used",
				"grants model %q with adapter %q again, as serves[%d] does", g.Model, g.Adapter, j)
			continue
		}
		first[key] = i
	}
}

func (c *checker) checkAccountServices(at path, a *Account) {
	seen := newNames(c.problems, "service")
	for i, name := range a.Services {
		here := at.field("services").index(i)
		seen.see(here, name)
		if !c.services[name] && !c.refused(here) {
			c.add(here, "add the service under services, or correct the name", "is %q, which is no service of this document", name)
		}
	}
}

// checkLimits refuses limits under which some granted request could never run.
func (c *checker) checkLimits(at path, a *Account) {
	limit := a.Limits.TokensPerMinute
	here := at.field("limits").field("tokensPerMinute")
	if limit <= 0 || c.refused(here) {
		return
	}
	for _, g := range a.Serves {
		names := c.models[g.Model]
		if names == nil || float64(names.maxTokens) <= limit {
			continue
		}
		c.add(here, "raise the limit to at least maxTokens of each granted model",
			"is %v, below maxTokens (%d) of model %q, so a full answer could never be admitted", limit, names.maxTokens, g.Model)
		return
	}
}
