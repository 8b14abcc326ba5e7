import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { describe, it } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { createAgentSlots } from '../src/agentSlots.js';
import { attemptBuffered } from '../src/bufferedAttempt.js';
import { createChangeSignal } from '../src/changeSignal.js';
import type { GatewayContext } from '../src/gatewayContext.js';
import { startSilenceTimer } from '../src/streamSilence.js';
import { createUpstreamConnections } from '../src/upstreamConnections.js';
import { createEntryContext } from './entryContextFixture.js';
import { createPlayedRequest } from './entryRequestFixture.js';

const HOST = '127.0.0.1';

/** Longer than any timer can be, in milliseconds. */
const LONG_MILLISECONDS = 1e10;

/** Time in which a timer that is due at once would have fired, in milliseconds. */
const SHORT_MILLISECONDS = 100;

describe('a duration longer than any timer can be', () => {
  it('does not make a stream count as silent', async () => {
    let reports = 0;
    const silence = startSilenceTimer(LONG_MILLISECONDS, () => {
      reports += 1;
    });
    silence.eventReceived();
    await pause(SHORT_MILLISECONDS);
    silence.stop();
    assert.equal(reports, 0);
  });

  it('does not take a request from its upstream', async () => {
    const server = createServer((request, response) => {
      const headers = { 'x-request': request.headers['x-request'], 'x-signed': 'yes' };
      setTimeout(() => response.writeHead(200, headers).end('done'), SHORT_MILLISECONDS);
    }).listen(0, HOST);
    await once(server, 'listening');
    const address = `${HOST}:${(server.address() as AddressInfo).port}`;
    await using connections = createUpstreamConnections(HOST);
    const entry = createEntryContext(connections, address);
    const request = createPlayedRequest({ id: 'a', route: {}, headers: ['x-request', 'a'] });
    const upstream = { id: 'u', startedAt: 1, address };
    let offers = 0;
    const outcome = await attemptBuffered(entry, request, upstream, LONG_MILLISECONDS, {
      silenceMilliseconds: LONG_MILLISECONDS,
      onSilent: () => {
        offers += 1;
      },
      abandoned: new AbortController().signal,
    });
    server.close();
    server.closeAllConnections();
    assert.equal(outcome.kind, 'answered');
    assert.equal(offers, 0);
  });

  it('does not end a wait for changes', async () => {
    let hasEnded = false;
    const stop = new AbortController();
    const wait = createChangeSignal()
      .wait(LONG_MILLISECONDS, stop.signal)
      .then(() => {
        hasEnded = true;
      });
    await pause(SHORT_MILLISECONDS);
    assert.equal(hasEnded, false);
    stop.abort();
    await wait;
  });

  it('does not keep the agent of an engine busy while a slot is held', async () => {
    let looks = 0;
    const ignore = (): void => undefined;
    const now = (): number => {
      looks += 1;
      return 0;
    };
    const context = { time: { now }, log: { write: ignore }, metrics: { count: ignore } };
    await using slots = createAgentSlots(context as unknown as GatewayContext, () => ({
      engine: 'e',
      servableVersion: () => 1,
      rules: null,
      slots: 1,
    }));
    const peer = { name: 'entry', incarnation: 'e', dataCentre: 'x', roles: [] };
    const reply = await slots.handlers.calls?.['place.claim']?.(
      {
        requestId: 'r',
        model: 'm',
        promptTokens: 1,
        answerTokens: 1,
        slackMilliseconds: 500,
        mayWait: false,
        mostTaken: null,
        mostReadingMilliseconds: null,
        holdMilliseconds: LONG_MILLISECONDS,
        rank: 0,
      },
      { peer, signal: new AbortController().signal },
    );
    assert.equal(reply?.kind, 'granted');
    const looksBefore = looks;
    await pause(SHORT_MILLISECONDS);
    assert.equal(looks, looksBefore);
  });
});
