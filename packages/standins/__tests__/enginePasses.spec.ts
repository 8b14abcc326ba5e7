import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createEnginePasses, type PassSettings } from '../src/enginePasses.js';

const settings: PassSettings = {
  slots: 2,
  stepsPerPass: 5,
  stepMilliseconds: 10,
  stepPerRequestMilliseconds: 1,
  stepPerThousandTokensMilliseconds: 0,
  readTokensPerMillisecond: 10,
  millisecondsPerMillionPairs: 0,
  promptTokensPerStep: 1_000,
};

describe('the passes of an engine', () => {
  it('read a prompt before its first token, over several passes if it is long', () => {
    const engine = createEnginePasses(settings);
    assert.equal(engine.begin(0), null);
    engine.add({ id: 1, promptTokens: 1_500, answerTokens: 3 });
    assert.equal(engine.begin(0), 110);
    assert.deepEqual(engine.end(), []);
    assert.equal(engine.begin(110), 110 + 10 + 50 + 1);
    assert.deepEqual(engine.end(), [{ id: 1, tokens: 1, isLast: false }]);
    engine.begin(171);
    assert.deepEqual(engine.end(), [{ id: 1, tokens: 2, isLast: true }]);
    assert.equal(engine.running, 0);
  });

  it('generate several tokens for each running request, and queue requests without a slot', () => {
    const engine = createEnginePasses(settings);
    for (const id of [1, 2, 3]) engine.add({ id, promptTokens: 10, answerTokens: 6 });
    engine.begin(0);
    engine.end();
    assert.deepEqual([engine.running, engine.waiting], [2, 1]);
    assert.equal(engine.begin(100), 100 + 5 * 12);
    const ended = engine.end();
    assert.deepEqual(
      ended.map(({ tokens, isLast }) => [tokens, isLast]),
      [
        [5, true],
        [5, true],
      ],
    );
    engine.begin(200);
    assert.deepEqual([engine.running, engine.waiting], [1, 0]);
  });

  it('generate nothing for a cancelled request', () => {
    const engine = createEnginePasses(settings);
    engine.add({ id: 1, promptTokens: 10, answerTokens: 100 });
    engine.begin(0);
    engine.cancel(1);
    assert.deepEqual(engine.end(), []);
    assert.equal(engine.begin(20), null);
  });
});
