package group

import (
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"

	"cicadaslip/internal/model"
)

// Group is a set of targets of one data centre and one kind that has one owner.
type Group struct {
	Name        string
	Class       model.TargetClass
	BaseModel   string
	Application string
	DataCentre  string
	Region      string
	Targets     []model.Target // in name order
}

// Name returns the name of a target's group. The targets of one data centre,
// class and base model or application are spread over perPool groups.
func Name(target model.Target, perPool int) string {
	index := uint64(0)
	if perPool > 1 {
		index = xxhash.Sum64String(target.Name) % uint64(perPool)
	}
	return fmt.Sprintf("%s.%s.%s.%d", target.DataCentre, target.Class, served(target), index)
}

// served returns the base model or the application that the target serves.
func served(target model.Target) string {
	if target.Class == model.ClassService {
		return target.Application
	}
	return target.BaseModel
}

// FromListing returns the groups of the listed targets in name order.
func FromListing(targets []model.Target, perPool int) []Group {
	byName := map[string]*Group{}
	for _, target := range targets {
		name := Name(target, perPool)
		entry := byName[name]
		if entry == nil {
			entry = &Group{
				Name: name, Class: target.Class, BaseModel: target.BaseModel, Application: target.Application,
				DataCentre: target.DataCentre, Region: target.Region,
			}
			byName[name] = entry
		}
		entry.Targets = append(entry.Targets, target)
	}
	return sorted(byName)
}

func sorted(byName map[string]*Group) []Group {
	groups := make([]Group, 0, len(byName))
	for _, entry := range byName {
		targets := entry.Targets
		sort.Slice(targets, func(i, j int) bool { return targets[i].Name < targets[j].Name })
		groups = append(groups, *entry)
	}
	sort.Slice(groups, func(i, j int) bool { return groups[i].Name < groups[j].Name })
	return groups
}
