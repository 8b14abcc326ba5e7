// Takes the place of Node's `assert` in the bundle. Node builds the message of a failed `assert(value)`
// by parsing the source around it; in a minified bundle that blocks the process for seconds, and
// bytes of a peer can reach such assertions of dependencies.

/** Error of a failed assertion, with the properties of Node's. */
class AssertionError extends Error {
  constructor(message) {
    super(message);
    this.name = 'AssertionError';
    this.code = 'ERR_ASSERTION';
  }
}

function fail(message) {
  throw message instanceof Error ? message : new AssertionError(message ?? 'an assertion failed');
}

function assertTruthy(value, message) {
  if (!value) fail(message);
}

function equal(actual, expected, message) {
  if (!Object.is(actual, expected)) fail(message);
}

module.exports = Object.assign(assertTruthy, {
  AssertionError,
  fail,
  ok: assertTruthy,
  equal,
  strictEqual: equal,
});
