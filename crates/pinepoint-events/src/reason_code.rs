//! The trait of enums with stable codes, and the macro that defines such enums.

/// An enum whose variants each have a stable code.
pub trait ReasonCode: Copy + Eq + 'static {
    /// All variants in declaration order, which is the order of [`ReasonCode::index`].
    const ALL: &'static [Self];
    /// The code: lower-case letters and hyphens. Codes are part of metric names and log lines and never
    /// change.
    fn code(self) -> &'static str;
    /// The position of the variant in [`ReasonCode::ALL`].
    fn index(self) -> usize;
}

/// Defines an enum that implements [`ReasonCode`]: `Name { Variant = "code", ... }`, every item documented.
///
/// `Debug` and `Display` of the enum print the code.
#[macro_export]
macro_rules! reason_codes {
    ($(#[$outer:meta])* $name:ident { $($(#[$doc:meta])* $variant:ident = $code:literal,)+ }) => {
        $(#[$outer])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $name { $($(#[$doc])* $variant,)+ }

        impl $crate::ReasonCode for $name {
            const ALL: &'static [Self] = &[$($name::$variant,)+];

            fn code(self) -> &'static str {
                match self { $($name::$variant => $code,)+ }
            }

            fn index(self) -> usize {
                self as usize
            }
        }

        /// Prints the code, like `Display`.
        impl std::fmt::Debug for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str($crate::ReasonCode::code(*self))
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str($crate::ReasonCode::code(*self))
            }
        }
    };
}
