"""Run the demo."""

if __name__ == "__main__":
    print("demo")
