import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { promptTrait } from '../src/entryDigest.js';

const LONG_CHARACTERS = 14_000;
const MAXIMUM_TRAIT_CHARACTERS = 128;

describe('the name of a part of prompts', () => {
  // An entry keeps ten thousand of them.
  it('is short and distinct whatever names a caller chooses', () => {
    const model = 'm'.repeat(LONG_CHARACTERS);
    const traits = [
      promptTrait('model-a', '5c1e07a2'),
      promptTrait(model, '5c1e07a2'),
      promptTrait(model, '5c1e07a3'),
      promptTrait('model-a', 'p'.repeat(LONG_CHARACTERS)),
    ];
    assert.equal(new Set(traits).size, traits.length);
    assert.ok(traits.every(({ length }) => length <= MAXIMUM_TRAIT_CHARACTERS));
    assert.equal(promptTrait(model, '5c1e07a2'), traits[1]);
  });
});
