import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { SlotReply } from '@burdockrail/protocol/protocolDirectory.js';
import { createAgentSlots } from '../src/agentSlots.js';
import type { GatewayContext } from '../src/gatewayContext.js';

const SLOTS = 8;
const peer = { name: 'entry', incarnation: 'e', dataCentre: 'x', roles: [] };

/** The agent of an engine, at a time that the test sets. */
function createAgent() {
  let now = 0;
  let claims = 0;
  const ignore = (): void => undefined;
  const slots = createAgentSlots(
    {
      time: { now: () => now },
      log: { write: ignore },
      metrics: { count: ignore },
    } as unknown as GatewayContext,
    () => ({ engine: 'e', servableVersion: () => 1, rules: null, slots: SLOTS }),
  );
  const signal = new AbortController().signal;
  const { calls, notifications } = slots.handlers;
  return {
    slots,
    setTime: (next: number) => {
      now = next;
    },
    rest: (engine: string, restMilliseconds: number) => {
      notifications?.['place.rest']?.({ engine, restMilliseconds }, { peer, signal });
    },
    claim: async (mostTaken: number | null): Promise<SlotReply | undefined> => {
      claims += 1;
      const claim = {
        requestId: `r-${claims}`,
        model: 'm',
        promptTokens: 1,
        answerTokens: 1,
        slackMilliseconds: 500,
        mayWait: false,
        mostTaken,
        mostReadingMilliseconds: null,
        holdMilliseconds: 5_000,
        rank: 0,
      };
      return calls?.['place.claim']?.(claim, { peer, signal });
    },
  };
}

describe('the agent of an engine that rests for an entry', () => {
  it('sends others to lightly loaded engines first, but grants a slot where none is free', async () => {
    const agent = createAgent();
    await using slots = agent.slots;
    agent.rest('e', 1_000);
    const reply = await agent.claim(SLOTS / 2);
    assert.equal(reply?.kind, 'full');
    assert.equal(reply.taken, SLOTS);
    assert.equal((await agent.claim(null))?.kind, 'granted');
    agent.setTime(1_000);
    assert.equal((await agent.claim(SLOTS / 2))?.kind, 'granted');
    assert.equal(slots.taken, 2);
  });

  it('forgets the rest with a restart, and learns of none of another engine', async () => {
    const agent = createAgent();
    await using slots = agent.slots;
    agent.rest('former', 1_000);
    assert.equal((await agent.claim(SLOTS / 2))?.kind, 'granted');
    agent.rest('e', 1_000);
    assert.equal((await agent.claim(SLOTS / 2))?.kind, 'full');
    slots.reset();
    assert.equal((await agent.claim(SLOTS / 2))?.kind, 'granted');
  });
});
