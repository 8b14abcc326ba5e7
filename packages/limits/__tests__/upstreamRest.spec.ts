import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createUpstreamRest } from '../src/upstreamRest.js';

const upstream = { id: 'u', startedAt: 1 };
const LONGEST_REST_MILLISECONDS = 3_600_000;

describe('the rest of an upstream', () => {
  it('lasts as long as its answer says, in fractions of a second too', () => {
    const rest = createUpstreamRest();
    assert.equal(rest.restMilliseconds(upstream, 0), 0);
    assert.equal(rest.record(upstream, 1_250, 100), 1_250);
    assert.equal(rest.restMilliseconds(upstream, 100), 1_250);
    assert.equal(rest.restMilliseconds(upstream, 1_349.5), 0.5);
    assert.equal(rest.restMilliseconds(upstream, 1_350), 0);
    assert.equal(rest.restMilliseconds({ id: 'v', startedAt: 1 }, 100), 0);
  });

  it('is not shortened by a later answer, and is prolonged by one', () => {
    const rest = createUpstreamRest();
    rest.record(upstream, 5_000, 0);
    assert.equal(rest.record(upstream, 100, 1_000), null);
    assert.equal(rest.restMilliseconds(upstream, 1_000), 4_000);
    assert.equal(rest.record(upstream, 6_000, 1_000), 6_000);
    assert.equal(rest.restMilliseconds(upstream, 1_000), 6_000);
  });

  it('ends with a restart, and does not return with a late answer from before', () => {
    const rest = createUpstreamRest();
    const restarted = { id: 'u', startedAt: 2 };
    rest.record(upstream, 5_000, 0);
    assert.equal(rest.restMilliseconds(restarted, 1), 0);
    rest.record(restarted, 100, 1);
    assert.equal(rest.record(upstream, 5_000, 2), null);
    assert.equal(rest.restMilliseconds(restarted, 2), 99);
    assert.equal(rest.restMilliseconds(upstream, 2), 99);
  });

  it('is not begun by a time that is no positive number, and is bounded', () => {
    const rest = createUpstreamRest();
    for (const nonsense of [-1, 0, Number.NaN, Number.NEGATIVE_INFINITY])
      assert.equal(rest.record(upstream, nonsense, 0), null);
    assert.equal(rest.restMilliseconds(upstream, 0), 0);
    for (const huge of [1e300, Number.POSITIVE_INFINITY]) rest.record(upstream, huge, 0);
    assert.equal(rest.restMilliseconds(upstream, 0), LONGEST_REST_MILLISECONDS);
  });

  it('is followed by a time in which others are preferred, twice as long each time', () => {
    const rest = createUpstreamRest();
    let now = 0;
    for (const avoidedMilliseconds of [0, 1_000, 3_000, 4_000, 4_000]) {
      rest.record(upstream, 1_000, now);
      assert.equal(rest.isAvoided(upstream, now), false);
      now += 1_000;
      assert.equal(rest.restMilliseconds(upstream, now), 0);
      if (avoidedMilliseconds > 0) assert.equal(rest.isAvoided(upstream, now), true);
      now += avoidedMilliseconds;
      assert.equal(rest.isAvoided(upstream, now), false);
      rest.discardEnded(now);
    }
  });

  it('is not avoided longer for several refusals of one time, or after it has served', () => {
    const rest = createUpstreamRest();
    for (const now of [0, 1, 2]) rest.record(upstream, 1_000, now);
    assert.equal(rest.isAvoided(upstream, 1_002), false);
    rest.recordServed(upstream, 1_002);
    rest.record(upstream, 1_000, 1_003);
    assert.equal(rest.isAvoided(upstream, 2_003), false);
    rest.record(upstream, 1_000, 2_003);
    assert.equal(rest.isAvoided(upstream, 3_003), true);
    // What was sent before the refusal says nothing about the time after it.
    rest.record(upstream, 1_000, 4_003);
    rest.recordServed(upstream, 4_004);
    assert.equal(rest.isAvoided(upstream, 5_003), true);
    assert.equal(rest.isAvoided({ id: 'u', startedAt: 2 }, 5_003), false);
  });

  it('is kept until it ends', () => {
    const rest = createUpstreamRest();
    rest.record(upstream, 5_000, 0);
    rest.discardEnded(4_999);
    assert.equal(rest.restMilliseconds(upstream, 4_999), 1);
    rest.discardEnded(9_000);
    assert.equal(rest.restMilliseconds(upstream, 4_999), 0);
  });
});
