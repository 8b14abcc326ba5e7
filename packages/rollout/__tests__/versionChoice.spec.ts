import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  versionToFetch,
  versionToLoad,
  type FetchedVersion,
  type KnownVersions,
} from '../src/versionChoice.js';

/** Version 2 is named at 0 s, version 3 at 2 s; each older one is served for 7 s from then on. */
const known: KnownVersions = {
  loaded: 1,
  newest: 3,
  servableUntil: (version) => ({ 1: 7_000, 2: 9_000 })[version] ?? Number.POSITIVE_INFINITY,
};
const none = new Set<number>();
const fetching = (
  version: number,
  changes: Partial<Omit<FetchedVersion, 'version'>> = {},
): FetchedVersion => ({ version, isStalled: false, inPlaceOf: null, ...changes });

describe('the version to fetch', () => {
  const partial = new Set([2, 3]);
  const choose = (current: FetchedVersion | null, now = 2_500) =>
    versionToFetch(known, { complete: none, partial }, current, now);

  it('is the newest one, also while an older one is being fetched', () => {
    assert.equal(choose(null), 3);
    assert.equal(choose(fetching(2)), 3);
    assert.equal(choose(fetching(3)), 3);
  });

  it('is an older one while the newest stalls because the origin is lost', () => {
    assert.equal(choose(fetching(3, { isStalled: true })), 2);
    assert.equal(choose(fetching(2, { inPlaceOf: 3 })), 2);
    assert.equal(choose(fetching(2, { inPlaceOf: 3, isStalled: true })), 3);
  });

  it('is the newest one when the older could not be served for long', () => {
    assert.equal(choose(fetching(3, { isStalled: true }), 8_000), 3);
  });

  it('is the newest one when yet another is named meanwhile', () => {
    const renamed = { ...known, newest: 4 };
    const current = fetching(2, { inPlaceOf: 3 });
    assert.equal(versionToFetch(renamed, { complete: none, partial }, current, 2_500), 4);
  });

  it('is none when the newest is loaded or whole', () => {
    const held = { complete: new Set([3]), partial: new Set([2]) };
    assert.equal(versionToFetch(known, held, fetching(2), 2_500), null);
    assert.equal(
      versionToFetch({ ...known, loaded: 3 }, { ...held, complete: none }, null, 0),
      null,
    );
  });
});

describe('the version to load', () => {
  it('is the newest whole one that is newer than the loaded one', () => {
    assert.equal(versionToLoad(known, none, 3_000), null);
    assert.equal(versionToLoad(known, new Set([1, 2]), 3_000), 2);
    assert.equal(versionToLoad(known, new Set([2, 3]), 3_000), 3);
  });

  it('is none when only a version is whole whose service would end soon', () => {
    assert.equal(versionToLoad(known, new Set([2]), 7_400), 2);
    assert.equal(versionToLoad(known, new Set([2]), 7_600), null);
  });
});
