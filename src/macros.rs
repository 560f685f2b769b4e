//! Common sets of derives.

/// Derives what every plain data type has: clone, debug, equality and serialization.
macro_rules! data {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
            $item
        )*
    };
}

/// Derives what every identifier has: all of `data!`, and copy, order and hash.
macro_rules! key {
    ($($item:item)*) => {
        $(
            #[derive(
                Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
                serde::Serialize, serde::Deserialize,
            )]
            $item
        )*
    };
}
