/** Owns resources and disposes of them in the reverse order of their registration. */
export interface DisposalStack extends AsyncDisposable {
  /** Takes ownership of a resource and returns it. */
  use<Resource extends AsyncDisposable>(resource: Resource): Resource;
  /** Registers a function to run at disposal. */
  defer(release: () => Promise<void> | void): void;
}

/** Creates an empty stack; Node 20 has no `AsyncDisposableStack` of its own. */
export function createDisposalStack(): DisposalStack {
  const releases: (() => Promise<void> | void)[] = [];
  return {
    use: (resource) => {
      releases.push(() => Promise.resolve(resource[Symbol.asyncDispose]()));
      return resource;
    },
    defer: (release) => {
      releases.push(release);
    },
    [Symbol.asyncDispose]: async () => {
      for (let release = releases.pop(); release !== undefined; release = releases.pop()) {
        await release();
      }
    },
  };
}
