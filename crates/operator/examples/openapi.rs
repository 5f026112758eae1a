//! Prints the `OpenAPI` document that is committed beside this crate.

fn main() {
    print!("{}", auburnline_operator::document());
}
