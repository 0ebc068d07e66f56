package config

import (
	"encoding/json"
	"fmt"

	"tarragongw/core/model"
)

// fields are the JSON values of an object's fields, by name. Diff and Merge work on them, so
// that they cover new fields of the model without further code.
type fields map[string]json.RawMessage

// objects are all objects of a model.
type objects map[model.Ref]fields

// splitModel returns the objects of a model.
func splitModel(m *model.Model) objects {
	all := make(objects, len(m.Services)+len(m.Targets)+len(m.Ranges)+len(m.Callers)+len(m.Selectors))
	splitList(all, model.KindService, m.Services, func(s *model.Service) string { return s.Name })
	splitList(all, model.KindTarget, m.Targets, func(t *model.Target) string { return t.Name })
	splitList(all, model.KindRange, m.Ranges, func(r *model.KeyRange) string { return r.Name })
	splitList(all, model.KindCaller, m.Callers, func(c *model.Caller) string { return c.Name })
	splitList(all, model.KindSelector, m.Selectors, func(s *model.Selector) string { return s.Name })
	return all
}

func splitList[T any](all objects, kind model.ObjectKind, list []T, name func(*T) string) {
	for i := range list {
		data, err := json.Marshal(&list[i])
		if err != nil {
			panic(fmt.Sprintf("config: a %s cannot be encoded: %v", kind, err))
		}
		var f fields
		if err := json.Unmarshal(data, &f); err != nil {
			panic(fmt.Sprintf("config: an encoded %s cannot be split into its fields: %v", kind, err))
		}
		all[model.Ref{Kind: kind, Name: name(&list[i])}] = f
	}
}

// build is the inverse of splitModel: it returns the model, sorted.
func (all objects) build() *model.Model {
	m := &model.Model{}
	for ref, f := range all {
		switch ref.Kind {
		case model.KindService:
			m.Services = append(m.Services, buildObject[model.Service](f))
		case model.KindTarget:
			m.Targets = append(m.Targets, buildObject[model.Target](f))
		case model.KindRange:
			m.Ranges = append(m.Ranges, buildObject[model.KeyRange](f))
		case model.KindCaller:
			m.Callers = append(m.Callers, buildObject[model.Caller](f))
		case model.KindSelector:
			m.Selectors = append(m.Selectors, buildObject[model.Selector](f))
		}
	}
	m.Sort()
	return m
}

func buildObject[T any](f fields) T {
	data, err := json.Marshal(f)
	if err != nil {
		panic(fmt.Sprintf("config: the fields of an object cannot be encoded: %v", err))
	}
	var object T
	if err := json.Unmarshal(data, &object); err != nil {
		panic(fmt.Sprintf("config: an object cannot be decoded from its fields: %v", err))
	}
	return object
}
