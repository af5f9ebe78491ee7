//! Writes the settings reference to standard output.

fn main() {
    print!("{}", conf::reference());
}
