package document

// Names of the classes that exist without being declared.
const (
	ClassInteractive = "interactive"
	ClassLate        = "late"
)

// Priorities of the classes that exist without being declared.
const (
	interactivePriority = 5
	latePriority        = 1
)

// checker checks the semantic rules. It holds the names that the document declares.
type checker struct {
	*problems
	d        *Document
	models   map[string]*modelNames
	classes  map[string]bool
	services map[string]bool
}

// modelNames holds the declared versions and adapters of a model.
type modelNames struct {
	versions  map[string]bool
	adapters  map[string]bool
	maxTokens int
}

// checkRules adds all faults that the schema cannot express: undeclared or
// duplicate names, and values that contradict each other. Values that failed the
// schema check may be missing from the document.
func checkRules(ps *problems, d *Document) {
	c := &checker{
		problems: ps,
		d:        d,
		models:   make(map[string]*modelNames),
		classes:  map[string]bool{ClassInteractive: true, ClassLate: true},
		services: make(map[string]bool),
	}
	c.checkObjectives()
	c.checkModels()
	c.checkClasses()
	c.checkServices()
	c.checkAccounts()
	c.checkPlacements()
}

func (c *checker) checkObjectives() {
	at := path{"objectives"}
	o := c.d.Objectives
	if o.StallTime+o.Preemptions+o.InterTokenTail <= 0 && !c.anyInvalid(at, "stallTime", "preemptions", "interTokenTail") {
		c.add(at, "give at least one of stallTime, preemptions and interTokenTail a weight above 0", "has only weights of 0")
	}
	normalized := normalizeObjectives(o)
	if normalized.InterTokenMS > normalized.FirstTokenMS && !c.anyInvalid(at, "firstTokenMs", "interTokenMs") {
		c.add(at.field("interTokenMs"), "lower interTokenMs or raise firstTokenMs",
			"is %d, above firstTokenMs (%d); the first token cannot come sooner than a later one", normalized.InterTokenMS, normalized.FirstTokenMS)
	}
}

func (c *checker) checkModels() {
	seen := newUniqueNames(c.problems, "model")
	for i, m := range c.d.Models {
		at := path{"models"}.index(i)
		seen.add(at.field("name"), m.Name)
		names := c.models[m.Name]
		if names == nil {
			names = &modelNames{versions: make(map[string]bool), adapters: make(map[string]bool), maxTokens: m.MaxTokens}
			c.models[m.Name] = names
		}
		c.addUnique(at.field("versions"), "version", m.Versions, names.versions)
		c.addUnique(at.field("adapters"), "adapter", m.Adapters, names.adapters)
	}
}

func (c *checker) addUnique(at path, kind string, list []string, known map[string]bool) {
	seen := newUniqueNames(c.problems, kind)
	for i, name := range list {
		seen.add(at.index(i), name)
		known[name] = true
	}
}

// checkClasses checks that class names are unique, and that a class named late may
// arrive late and one named interactive may not.
func (c *checker) checkClasses() {
	seen := newUniqueNames(c.problems, "class")
	for i, class := range c.d.Classes {
		at := path{"classes"}.index(i)
		seen.add(at.field("name"), class.Name)
		c.classes[class.Name] = true
		if class.Name == ClassInteractive && class.MayArriveLate {
			c.add(at.field("mayArriveLate"), "choose another name for the class, or remove mayArriveLate",
				"is true for the class interactive, which grants without a class use")
		}
		if class.Name == ClassLate && !class.MayArriveLate && !c.isInvalid(at.field("mayArriveLate")) {
			c.add(at, "add mayArriveLate: true, or choose another name for the class",
				"declares the class late, but it may not arrive late")
		}
	}
}

// checkPlacements checks that placements name known models, versions and adapters,
// each version once, and that granted versions are placed.
func (c *checker) checkPlacements() {
	placed := make(map[[2]string]*Placement)
	for i := range c.d.Placements {
		p := &c.d.Placements[i]
		at := path{"placements"}.index(i)
		names := c.checkVersion(at, p.Model, p.Version)
		for j, adapter := range p.Adapters {
			c.checkAdapter(at.field("adapters").index(j), names, p.Model, adapter)
		}
		c.addUnique(at.field("adapters"), "adapter", p.Adapters, make(map[string]bool))
		key := [2]string{p.Model, p.Version}
		if placed[key] != nil && !c.anyInvalid(at, "model", "version") {
			c.add(at, "keep one entry and add up the replicas", "places model %q version %q a second time", p.Model, p.Version)
			continue
		}
		placed[key] = p
	}
	if len(placed) > 0 {
		c.checkGrantsArePlaced(placed)
	}
}

// checkGrantsArePlaced reports grants that no engine would serve. Models without
// any placement are managed outside the document and are skipped.
func (c *checker) checkGrantsArePlaced(placed map[[2]string]*Placement) {
	managed := make(map[string]bool)
	for key := range placed {
		managed[key[0]] = true
	}
	for i := range c.d.Accounts {
		for j, g := range c.d.Accounts[i].Serves {
			if !managed[g.Model] || c.models[g.Model] == nil || !c.models[g.Model].versions[g.Version] {
				continue
			}
			at := path{"accounts"}.index(i).field("serves").index(j)
			p := placed[[2]string{g.Model, g.Version}]
			if p == nil || p.Replicas == 0 {
				c.add(at.field("version"), "add a placement with replicas above 0, or change the grant",
					"is %q, which no placement of model %q serves", g.Version, g.Model)
				continue
			}
			if c.models[g.Model].adapters[g.Adapter] && !contains(p.Adapters, g.Adapter) {
				c.add(at.field("adapter"), "add the adapter to the placement, or change the grant",
					"is %q, which the placement of model %q version %q does not load", g.Adapter, g.Model, g.Version)
			}
		}
	}
}

// checkVersion checks a reference to a model version and returns the names that
// the model declares, or nil if there is no such model.
func (c *checker) checkVersion(at path, model, version string) *modelNames {
	names := c.models[model]
	if names == nil {
		if !c.isInvalid(at.field("model")) {
			c.add(at.field("model"), "add the model under models, or correct the name", "is %q, which is no model of this document", model)
		}
		return nil
	}
	if !names.versions[version] && !c.isInvalid(at.field("version")) {
		c.add(at.field("version"), "add it to the model's versions, or correct it", "is %q, which is no version of model %q", version, model)
	}
	return names
}

func (c *checker) checkAdapter(at path, names *modelNames, model, adapter string) {
	if names == nil || adapter == "" || names.adapters[adapter] || c.isInvalid(at) {
		return
	}
	c.add(at, "add it to the model's adapters, or correct it", "is %q, which is no adapter of model %q", adapter, model)
}

func (c *checker) anyInvalid(at path, fields ...string) bool {
	for _, name := range fields {
		if c.isInvalid(at.field(name)) {
			return true
		}
	}
	return false
}

func contains(list []string, item string) bool {
	for _, x := range list {
		if x == item {
			return true
		}
	}
	return false
}
