import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import {
  createQuarantineState,
  type QuarantineState,
  type RequestTraits,
} from '../src/quarantineState.js';

const THRESHOLD = 3;

const request = (content: string, ...parts: readonly string[]): RequestTraits => ({
  content,
  parts,
});

function crash(state: QuarantineState, traits: RequestTraits, agent: string, now = 0) {
  return state.recordCrash({ ...traits, agent, granted: false }, now);
}

function isRefused(state: QuarantineState, traits: RequestTraits, now = 1): boolean {
  return state.statusOf(traits, now).kind === 'quarantined';
}

describe('a prompt part under which upstreams crash', () => {
  it('is refused in every request after three crashes of different requests', () => {
    const state = createQuarantineState(THRESHOLD);
    state.recordCompletion(request('before', 'common'), 0);
    for (const index of [1, 2]) crash(state, request(`r${index}`, 'common', 'bad'), `u${index}`);
    assert.equal(isRefused(state, request('new', 'common', 'bad')), false);
    assert.equal(crash(state, request('r3', 'common', 'bad'), 'u3').quarantined, 'bad');
    assert.equal(isRefused(state, request('new', 'common', 'bad')), true);
    assert.equal(isRefused(state, request('new', 'other', 'bad')), true);
    assert.equal(isRefused(state, request('new', 'common')), false);
    assert.deepEqual(state.quarantinedTraits(1), ['bad']);
  });

  it('is not blamed for crashes under one request that is repeated', () => {
    const state = createQuarantineState(THRESHOLD);
    const repeated = request('same', 'part');
    for (const agent of ['u1', 'u2', 'u3']) crash(state, repeated, agent);
    assert.equal(isRefused(state, repeated), true);
    assert.equal(isRefused(state, request('new', 'part')), false);
  });

  it('is blamed once other requests crash too, although a repeated one was blamed first', () => {
    const state = createQuarantineState(THRESHOLD);
    for (const agent of ['u1', 'u2', 'u3']) crash(state, request('same', 'part'), agent);
    crash(state, request('other', 'part'), 'u4');
    assert.equal(isRefused(state, request('new', 'part')), true);
  });

  it('explains the crashes that interrupted other requests', () => {
    const state = createQuarantineState(THRESHOLD);
    for (const index of [1, 2, 3]) {
      if (index < 3) crash(state, request(`v${index}`, 'victim'), `u${index}`);
      crash(state, request(`r${index}`, 'bad'), `u${index}`);
    }
    assert.equal(isRefused(state, request('new', 'bad')), true);
    crash(state, request('v3', 'victim'), 'u3');
    crash(state, request('v4', 'victim'), 'u4');
    crash(state, request('v5', 'victim'), 'u5');
    assert.equal(isRefused(state, request('new', 'victim')), false);
    crash(state, request('v6', 'victim'), 'u6');
    assert.equal(isRefused(state, request('new', 'victim')), true);
  });

  it('is cleared by a completion, also one that another process saw', () => {
    for (const clear of [
      (state: QuarantineState) => state.recordCompletion(request('done', 'part'), 1),
      (state: QuarantineState) => {
        state.recordSound(['part'], 1);
      },
    ]) {
      const state = createQuarantineState(THRESHOLD);
      for (const index of [1, 2, 3]) crash(state, request(`r${index}`, 'part'), `u${index}`);
      assert.equal(isRefused(state, request('new', 'part')), true);
      clear(state);
      assert.equal(isRefused(state, request('new', 'part')), false);
      assert.equal(state.isSound('part'), true);
    }
  });

  it('counts each incarnation of an upstream once', () => {
    const state = createQuarantineState(THRESHOLD);
    for (const index of [1, 2, 3, 4]) crash(state, request(`r${index}`, 'part'), 'u1 10');
    assert.equal(isRefused(state, request('new', 'part')), false);
    crash(state, request('r5', 'part'), 'u1 11');
    crash(state, request('r6', 'part'), 'u1 12');
    assert.equal(isRefused(state, request('new', 'part')), true);
  });

  it('is not blamed for crashes that are long apart', () => {
    const state = createQuarantineState(THRESHOLD);
    const hour = 3_600_000;
    for (const index of [1, 2, 3, 4])
      crash(state, request(`r${index}`, 'part'), `u${index}`, index * hour);
    assert.equal(isRefused(state, request('new', 'part'), 4 * hour + 1), false);
  });

  for (const learntFrom of ['crashes', 'another entry'] as const)
    it(`is refused again after one crash that follows its quarantine, for twice as long (${learntFrom})`, () => {
      const state = createQuarantineState(THRESHOLD);
      if (learntFrom === 'crashes')
        for (const index of [1, 2, 3]) crash(state, request(`r${index}`, 'part'), `u${index}`);
      else state.recordQuarantine('part', 0);
      const first = state.statusOf(request('new', 'part'), 1);
      assert.ok(first.kind === 'quarantined');
      const later = first.until + 1;
      assert.equal(isRefused(state, request('new', 'part'), later), false);
      crash(state, request('r4', 'part'), 'u4', later);
      const second = state.statusOf(request('new', 'part'), later);
      assert.ok(second.kind === 'quarantined');
      assert.equal(second.until - later, 2 * first.until);
    });
});

describe('a repeated request that has run to completion before', () => {
  const repeated = request('same');

  it('is not blamed for crashes of three upstreams, which have other causes', () => {
    const state = createQuarantineState(THRESHOLD);
    state.recordCompletion(repeated, 0);
    for (const agent of ['u1', 'u2', 'u3']) crash(state, repeated, agent);
    assert.equal(isRefused(state, repeated), false);
    for (const agent of ['u4', 'u5', 'u6', 'u7', 'u8', 'u9']) crash(state, repeated, agent);
    assert.equal(isRefused(state, repeated), true);
  });

  it('is known as sound', () => {
    const state = createQuarantineState(THRESHOLD);
    state.recordCompletion(repeated, 0);
    assert.equal(state.isSound('same'), true);
    assert.deepEqual(
      state.recordCrash({ ...repeated, agent: 'u1', granted: false }, 0).soundTraits,
      ['same'],
    );
  });
});

describe('parts that sound requests share with crashing ones', () => {
  it('are not refused while one other part explains all crashes', () => {
    fc.assert(
      fc.property(
        fc.array(fc.record({ upstream: fc.nat(5), other: fc.nat(3), own: fc.nat(1_000) }), {
          minLength: 12,
          maxLength: 40,
        }),
        (runs) => {
          const state = createQuarantineState(THRESHOLD);
          for (const other of ['o0', 'o1', 'o2', 'o3', 'common'])
            state.recordCompletion(request('before', other), 0);
          for (const [index, { upstream, other, own }] of runs.entries()) {
            const traits = request(`r${own}-${index}`, 'common', 'bad', `o${other}`);
            if (isRefused(state, traits)) break;
            crash(state, traits, `u${upstream} ${index}`);
          }
          assert.equal(isRefused(state, request('new', 'bad')), true);
          for (const other of ['o0', 'o1', 'o2', 'o3'])
            assert.equal(isRefused(state, request('new', 'common', other)), false);
        },
      ),
    );
  });
});
