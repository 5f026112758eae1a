//! Prints the `OpenAPI` document of the interface towards callers.

fn main() {
    print!("{}", auburnline_caller::document());
}
