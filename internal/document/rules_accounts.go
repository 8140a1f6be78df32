package document

// emptyKeyHash is the hash of the empty key. It would authenticate callers that
// send no key.
var emptyKeyHash = HashKey("")

func (c *checker) checkAccounts() {
	accounts := newUniqueNames(c.problems, "account")
	keys := newUniqueNames(c.problems, "key hash")
	for i := range c.d.Accounts {
		a := &c.d.Accounts[i]
		at := path{"accounts"}.index(i)
		accounts.add(at.field("name"), a.Name)
		for j, hash := range a.KeyHashes {
			keys.add(at.field("keyHashes").index(j), hash)
			if hash == emptyKeyHash {
				c.add(at.field("keyHashes").index(j), "make a key with hitchctl key new", "is the hash of an empty key")
			}
		}
		c.checkGrants(at, a)
		c.checkAccountServices(at, a)
		c.checkLimits(at, a)
	}
}

// checkGrants checks that an account has grants, and that those of models are valid
// and distinct.
func (c *checker) checkGrants(at path, a *Account) {
	if len(a.Serves) == 0 && len(a.Services) == 0 && !c.anyInvalid(at, "serves", "services") {
		c.add(at, "grant it a model under serves or a service under services, or remove the account",
			"account %q has no grant, so every call would be refused", a.Name)
	}
	first := make(map[[2]string]int)
	for i, g := range a.Serves {
		grantPath := at.field("serves").index(i)
		names := c.checkVersion(grantPath, g.Model, g.Version)
		c.checkAdapter(grantPath.field("adapter"), names, g.Model, g.Adapter)
		if g.Class != "" && !c.classes[g.Class] && !c.isInvalid(grantPath.field("class")) {
			c.add(grantPath.field("class"), "add the class under classes, or correct the name", "is %q, which is no class of this document", g.Class)
		}
		key := [2]string{g.Model, g.Adapter}
		if j, duplicate := first[key]; duplicate && !c.anyInvalid(grantPath, "model", "adapter") {
			c.add(grantPath, "keep one of the two; only the first would ever be used",
				"grants model %q with adapter %q again, as serves[%d] does", g.Model, g.Adapter, j)
			continue
		}
		first[key] = i
	}
}

func (c *checker) checkAccountServices(at path, a *Account) {
	seen := newUniqueNames(c.problems, "service")
	for i, name := range a.Services {
		namePath := at.field("services").index(i)
		seen.add(namePath, name)
		if !c.services[name] && !c.isInvalid(namePath) {
			c.add(namePath, "add the service under services, or correct the name", "is %q, which is no service of this document", name)
		}
	}
}

// checkLimits reports a token limit under which some granted request could never be
// admitted.
func (c *checker) checkLimits(at path, a *Account) {
	limit := a.Limits.TokensPerMinute
	limitPath := at.field("limits").field("tokensPerMinute")
	if limit <= 0 || c.isInvalid(limitPath) {
		return
	}
	for _, g := range a.Serves {
		names := c.models[g.Model]
		if names == nil || float64(names.maxTokens) <= limit {
			continue
		}
		c.add(limitPath, "raise the limit to at least maxTokens of each granted model",
			"is %v, below maxTokens (%d) of model %q, so a full answer could never be admitted", limit, names.maxTokens, g.Model)
		return
	}
}
