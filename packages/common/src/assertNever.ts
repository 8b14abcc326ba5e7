/** Fails the type check when a union has a case that is not handled. */
export function assertNever(value: never): never {
  throw new Error(`unexpected case: ${JSON.stringify(value)}`);
}
