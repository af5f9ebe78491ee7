//! Writes the settings reference, `docs/operate/settings.md`, to standard output.

fn main() {
    print!("{}", conf::reference());
}
