package main

import (
	"reflect"
	"testing"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport"
	"github.com/wasabiport/wasabiport/cmd/wasabiport/settings"
)

// embeddingOnly lists the fields of wasabiport.Config that only an embedding program
// sets.
var embeddingOnly = []string{"Self", "Seed", "Network", "HTTPClient", "Logger", "Adapter"}

func TestNodeConfigCopiesEverySetting(t *testing.T) {
	loaded := settings.DefaultNode()
	fields := reflect.ValueOf(&loaded).Elem()
	for i := range fields.NumField() {
		field := fields.Field(i)
		if field.CanInt() {
			field.SetInt(int64(i + 1))
		}
		if field.Kind() == reflect.String {
			field.SetString(fields.Type().Field(i).Name)
		}
	}
	config := reflect.ValueOf(nodeConfig(loaded, logr.Discard()))
	for i := range config.NumField() {
		name := config.Type().Field(i).Name
		setting := fields.FieldByName(name)
		if !setting.IsValid() {
			require.Contains(t, embeddingOnly, name, "wasabiport.Config.%s is not a setting", name)
			continue
		}
		require.Equal(t, setting.Interface(), config.Field(i).Interface(), name)
	}
	require.Equal(t, wasabiport.DefaultConfig().LeaveDelay, settings.DefaultNode().LeaveDelay)
}
