package platform

import (
	"bytes"
	"encoding/json"

	"burdockrelay.example/burdockrelay/internal/rawjson"
)

// The functions of this file leave the spec, the status and unknown fields of objects as
// other programs have written them, so that one object that cannot be decoded does not make
// a list or a watch unreadable.

func decodeList(body []byte) (*List, error) {
	var list List
	err := rawjson.Object(body, func(name string, value []byte) (err error) {
		switch name {
		case "metadata":
			list.Metadata, err = decodeMetadata(value)
		case "items":
			err = rawjson.Array(value, func(item []byte) error {
				object, err := decodeObject(item)
				if err == nil {
					list.Items = append(list.Items, *object)
				}
				return err
			})
		}
		return err
	})
	return &list, err
}

func decodeObject(text []byte) (*Object, error) {
	var object Object
	err := rawjson.Object(text, func(name string, value []byte) (err error) {
		switch name {
		case "kind":
			err = json.Unmarshal(value, &object.Kind)
		case "apiVersion":
			err = json.Unmarshal(value, &object.APIVersion)
		case "metadata":
			object.Metadata, err = decodeMetadata(value)
		case "spec":
			object.Spec = value
		case "status":
			object.Status = value
		}
		return err
	})
	return &object, err
}

func decodeMetadata(text []byte) (metadata Metadata, err error) {
	err = rawjson.Object(text, func(name string, value []byte) error {
		switch name {
		case "name":
			return json.Unmarshal(value, &metadata.Name)
		case "resourceVersion":
			return json.Unmarshal(value, &metadata.ResourceVersion)
		case "creationTimestamp":
			return json.Unmarshal(value, &metadata.CreationTimestamp)
		}
		return nil
	})
	return metadata, err
}

// decodeEvent decodes a line of a watch. The event does not refer to the line, whose buffer is
// used again.
func decodeEvent(line []byte) (event Event, err error) {
	err = rawjson.Object(bytes.Clone(line), func(name string, value []byte) error {
		switch name {
		case "type":
			return json.Unmarshal(value, &event.Type)
		case "object":
			event.Object = value
		}
		return nil
	})
	return event, err
}
