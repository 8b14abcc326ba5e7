import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { createDisposalStack, type DisposalStack } from '@burdockrail/common/disposalStack.js';
import { monotonicClock } from '@burdockrail/common/timeSource.js';
import type { PeerIdentity } from '@burdockrail/protocol/protocolAddress.js';
import type { SlotReply } from '@burdockrail/protocol/protocolDirectory.js';
import { createPeerClient } from '@burdockrail/transport/peerClient.js';
import { createPeerServer } from '@burdockrail/transport/peerServer.js';
import type { EntryContext } from '../src/entryContext.js';
import type { EntryRequest } from '../src/entryRequest.js';
import { createSlotClaimClient } from '../src/slotClaimClient.js';

const loopback = { host: '127.0.0.1', port: 0 };

/** Longer than a claim that may not wait has at its agent, in milliseconds. */
const LATE_MILLISECONDS = 1_000;

/** Time after the first claim at which the second one is sent, in milliseconds. */
const SECOND_CLAIM_MILLISECONDS = 100;

/** Time that the second claim takes, so that the first one has timed out by then, in milliseconds. */
const QUEUEING_MILLISECONDS = 220;

const identity = (name: string): PeerIdentity => ({
  name,
  incarnation: name,
  dataCentre: 'one',
  roles: [],
});

const granted = { kind: 'granted', place: 7, version: 1 } as SlotReply;

/** A claim client and an agent that answers each claim after the time that the test names. */
async function startAgent(
  disposables: DisposalStack,
  answerMilliseconds: Readonly<Record<string, number>>,
) {
  const withdrawn: string[] = [];
  const server = disposables.use(
    await createPeerServer(loopback, identity('agent'), {
      calls: {
        'place.claim': async ({ requestId }) => {
          await delay(answerMilliseconds[requestId] ?? 0);
          return granted;
        },
      },
      streams: {},
      notifications: {
        'place.withdraw': ({ requestId }) => withdrawn.push(requestId),
      },
    }),
  );
  const client = disposables.use(createPeerClient({ identity: identity('entry') }));
  const claimClient = createSlotClaimClient({
    client,
    time: monotonicClock,
    clusterView: { table: null },
    log: { write: () => undefined },
  } as unknown as EntryContext);
  const claim = async (id: string, mayWait: boolean): Promise<SlotReply | null> => {
    const request = {
      id,
      caller: { model: 'm', promptTokens: 1, answerTokens: 1, answerEstimate: null },
      admitted: { service: 's', team: null, route: { priority: 0 }, deadline: 1e9 },
      signal: new AbortController().signal,
    };
    const terms = { mayWait, mostTaken: null, mostReadingMilliseconds: null };
    return claimClient.claim(request as unknown as EntryRequest, server.address, 300, terms);
  };
  return { client, claim, withdrawn, address: server.address };
}

describe('a claim that its agent answers late', { timeout: 20_000 }, () => {
  it('does not end another claim that waits at the agent', async () => {
    await using disposables = createDisposalStack();
    const { claim } = await startAgent(disposables, {
      late: LATE_MILLISECONDS,
      other: QUEUEING_MILLISECONDS,
    });
    const late = claim('late', false);
    await delay(SECOND_CLAIM_MILLISECONDS);
    const other = await claim('other', true);
    assert.equal(await late, null);
    assert.equal(other?.kind, 'granted');
  });

  it('is withdrawn at the agent, which may have granted it', async () => {
    await using disposables = createDisposalStack();
    const { claim, withdrawn } = await startAgent(disposables, { late: LATE_MILLISECONDS });
    assert.equal(await claim('late', false), null);
    await delay(LATE_MILLISECONDS);
    assert.deepEqual(withdrawn, ['late']);
  });

  it('leaves its connection, which may be dead, to no later claim', async () => {
    await using disposables = createDisposalStack();
    const { client, claim, address } = await startAgent(disposables, { late: LATE_MILLISECONDS });
    const first = client.connectionTo(address);
    assert.equal(await claim('late', false), null);
    await delay(LATE_MILLISECONDS);
    assert.equal((await claim('next', false))?.kind, 'granted');
    assert.notEqual(client.connectionTo(address), first);
  });
});
