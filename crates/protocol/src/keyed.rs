//! Serializer that writes structs as maps from the number of a field to its value.
//!
//! A reader ignores numbers that it does not know, and takes defaults for those that are missing
//! if the field has `#[serde(default)]`. Derived implementations of `Deserialize` accept numbers in
//! the place of names.

use std::fmt::Display;

use serde::ser::{
    Serialize, SerializeMap, SerializeSeq, SerializeStruct, SerializeStructVariant, SerializeTuple,
    SerializeTupleStruct, SerializeTupleVariant, Serializer,
};

/// Wraps a serializer or one of its parts, or a value to be written by a wrapped serializer.
pub(crate) struct Keyed<T>(pub(crate) T);

impl<T: Serialize + ?Sized> Serialize for Keyed<&T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.0.serialize(Keyed(serializer))
    }
}

/// Writes the fields of a struct.
pub(crate) enum Fields<S: Serializer> {
    /// As a map, with the number of the next field.
    Map(S::SerializeMap, u32),
    /// As an array.
    Array(S::SerializeTuple),
}

macro_rules! forward_values {
    ($($method:ident: $type:ty,)*) => {
        $(fn $method(self, value: $type) -> Result<S::Ok, S::Error> {
            self.0.$method(value)
        })*
    };
}

impl<S: Serializer> Serializer for Keyed<S> {
    type Ok = S::Ok;
    type Error = S::Error;
    type SerializeSeq = Keyed<S::SerializeSeq>;
    type SerializeTuple = Keyed<S::SerializeTuple>;
    type SerializeTupleStruct = Keyed<S::SerializeTupleStruct>;
    type SerializeTupleVariant = Keyed<S::SerializeTupleVariant>;
    type SerializeMap = Keyed<S::SerializeMap>;
    type SerializeStruct = Fields<S>;
    type SerializeStructVariant = Keyed<S::SerializeStructVariant>;

    forward_values! {
        serialize_bool: bool,
        serialize_i8: i8,
        serialize_i16: i16,
        serialize_i32: i32,
        serialize_i64: i64,
        serialize_i128: i128,
        serialize_u8: u8,
        serialize_u16: u16,
        serialize_u32: u32,
        serialize_u64: u64,
        serialize_u128: u128,
        serialize_f32: f32,
        serialize_f64: f64,
        serialize_char: char,
        serialize_str: &str,
        serialize_bytes: &[u8],
        serialize_unit_struct: &'static str,
    }

    fn serialize_none(self) -> Result<S::Ok, S::Error> {
        self.0.serialize_none()
    }

    fn serialize_some<T: Serialize + ?Sized>(self, value: &T) -> Result<S::Ok, S::Error> {
        self.0.serialize_some(&Keyed(value))
    }

    fn serialize_unit(self) -> Result<S::Ok, S::Error> {
        self.0.serialize_unit()
    }

    fn serialize_unit_variant(
        self,
        name: &'static str,
        index: u32,
        variant: &'static str,
    ) -> Result<S::Ok, S::Error> {
        self.0.serialize_unit_variant(name, index, variant)
    }

    fn serialize_newtype_struct<T: Serialize + ?Sized>(
        self,
        name: &'static str,
        value: &T,
    ) -> Result<S::Ok, S::Error> {
        self.0.serialize_newtype_struct(name, &Keyed(value))
    }

    fn serialize_newtype_variant<T: Serialize + ?Sized>(
        self,
        name: &'static str,
        index: u32,
        variant: &'static str,
        value: &T,
    ) -> Result<S::Ok, S::Error> {
        self.0.serialize_newtype_variant(name, index, variant, &Keyed(value))
    }

    fn serialize_seq(self, len: Option<usize>) -> Result<Self::SerializeSeq, S::Error> {
        self.0.serialize_seq(len).map(Keyed)
    }

    fn serialize_tuple(self, len: usize) -> Result<Self::SerializeTuple, S::Error> {
        self.0.serialize_tuple(len).map(Keyed)
    }

    fn serialize_tuple_struct(
        self,
        name: &'static str,
        len: usize,
    ) -> Result<Self::SerializeTupleStruct, S::Error> {
        self.0.serialize_tuple_struct(name, len).map(Keyed)
    }

    fn serialize_tuple_variant(
        self,
        name: &'static str,
        index: u32,
        variant: &'static str,
        len: usize,
    ) -> Result<Self::SerializeTupleVariant, S::Error> {
        self.0.serialize_tuple_variant(name, index, variant, len).map(Keyed)
    }

    fn serialize_map(self, len: Option<usize>) -> Result<Self::SerializeMap, S::Error> {
        self.0.serialize_map(len).map(Keyed)
    }

    fn serialize_struct(
        self,
        name: &'static str,
        len: usize,
    ) -> Result<Self::SerializeStruct, S::Error> {
        // Serde implements the reading of durations by hand, without numbers.
        if name == "Duration" {
            return self.0.serialize_tuple(len).map(Fields::Array);
        }
        Ok(Fields::Map(self.0.serialize_map(Some(len))?, 0))
    }

    fn serialize_struct_variant(
        self,
        name: &'static str,
        index: u32,
        variant: &'static str,
        len: usize,
    ) -> Result<Self::SerializeStructVariant, S::Error> {
        self.0.serialize_struct_variant(name, index, variant, len).map(Keyed)
    }

    fn collect_str<T: Display + ?Sized>(self, value: &T) -> Result<S::Ok, S::Error> {
        self.0.collect_str(value)
    }

    fn is_human_readable(&self) -> bool {
        self.0.is_human_readable()
    }
}

impl<S: Serializer> SerializeStruct for Fields<S> {
    type Ok = S::Ok;
    type Error = S::Error;

    fn serialize_field<T: Serialize + ?Sized>(
        &mut self,
        _: &'static str,
        value: &T,
    ) -> Result<(), S::Error> {
        match self {
            Self::Map(map, number) => {
                map.serialize_entry(number, &Keyed(value))?;
                *number += 1;
                Ok(())
            }
            Self::Array(array) => array.serialize_element(&Keyed(value)),
        }
    }

    fn skip_field(&mut self, _: &'static str) -> Result<(), S::Error> {
        if let Self::Map(_, number) = self {
            *number += 1;
        }
        Ok(())
    }

    fn end(self) -> Result<S::Ok, S::Error> {
        match self {
            Self::Map(map, _) => map.end(),
            Self::Array(array) => array.end(),
        }
    }
}

macro_rules! forward_elements {
    ($($trait:ident: $method:ident,)*) => {
        $(impl<S: $trait> $trait for Keyed<S> {
            type Ok = S::Ok;
            type Error = S::Error;

            fn $method<T: Serialize + ?Sized>(&mut self, value: &T) -> Result<(), S::Error> {
                self.0.$method(&Keyed(value))
            }

            fn end(self) -> Result<S::Ok, S::Error> {
                self.0.end()
            }
        })*
    };
}

forward_elements! {
    SerializeSeq: serialize_element,
    SerializeTuple: serialize_element,
    SerializeTupleStruct: serialize_field,
    SerializeTupleVariant: serialize_field,
}

impl<S: SerializeMap> SerializeMap for Keyed<S> {
    type Ok = S::Ok;
    type Error = S::Error;

    fn serialize_key<T: Serialize + ?Sized>(&mut self, key: &T) -> Result<(), S::Error> {
        self.0.serialize_key(&Keyed(key))
    }

    fn serialize_value<T: Serialize + ?Sized>(&mut self, value: &T) -> Result<(), S::Error> {
        self.0.serialize_value(&Keyed(value))
    }

    fn end(self) -> Result<S::Ok, S::Error> {
        self.0.end()
    }
}

impl<S: SerializeStructVariant> SerializeStructVariant for Keyed<S> {
    type Ok = S::Ok;
    type Error = S::Error;

    fn serialize_field<T: Serialize + ?Sized>(
        &mut self,
        key: &'static str,
        value: &T,
    ) -> Result<(), S::Error> {
        self.0.serialize_field(key, &Keyed(value))
    }

    fn end(self) -> Result<S::Ok, S::Error> {
        self.0.end()
    }
}
