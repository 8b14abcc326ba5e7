import assert from 'node:assert/strict';
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { Readable } from 'node:stream';
import { describe, it } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import { readClientBody } from '@burdockrail/ingress/clientBody.js';
import { createClientGuard } from '@burdockrail/ingress/clientGuard.js';
import type { ClientExchange } from '@burdockrail/ingress/clientServer.js';
import { createFrameReader, encodeFrame } from '@burdockrail/transport/frameCodec.js';
import { attemptBuffered } from '../src/bufferedAttempt.js';
import { createHttpClient } from '../src/httpClient.js';
import { startStream } from '../src/streamAttempt.js';
import { createUpstreamConnections } from '../src/upstreamConnections.js';
import { createEntryContext, createSlot, ignoringObserver } from './entryContextFixture.js';
import { createPlayedRequest } from './entryRequestFixture.js';
import { startRawUpstream, type RawUpstream } from './rawUpstream.js';
import { peakGrowth } from './retainedMemory.js';

const MEBIBYTE = 1024 * 1024;
const NANOSECONDS_PER_MILLISECOND = 1_000_000;

/**
 * Growth of the memory up to which an answer counts as bounded, in bytes: the limit of 1 MiB with
 * the buffers of a connection at both ends, since this process is also the upstream.
 */
const MAXIMUM_GROWTH_BYTES = 12 * MEBIBYTE;

/**
 * Time after which a flood ends that has not reached its size limit, in milliseconds; memory without
 * a bound grows by more than the limit in a small part of it.
 */
const FLOOD_MILLISECONDS = 6_000;

/** Time for which an entry may answer nobody, in milliseconds: half a second after a timeout. */
const MAXIMUM_STALL_MILLISECONDS = 500;

/** Chunks of one byte, which an upstream repeats until the connection is closed. */
const chunksOf = (byte: string): Buffer => Buffer.from(`1\r\n${byte}\r\n`.repeat(4_096));

const answerHead = (status: string): string =>
  `HTTP/1.1 ${status}\r\nx-request: r\r\nx-signed: yes\r\ntransfer-encoding: chunked\r\n\r\n`;

/** Starts an upstream whose answers have no end; it writes no faster than the bytes are read. */
async function startEndlessUpstream(
  status: string,
  repeated = chunksOf('x'),
): Promise<RawUpstream> {
  return startRawUpstream(({ socket }) => {
    // A failed write calls back before the socket counts as destroyed.
    const send = (error?: Error | null): void => {
      if (error == null && !socket.destroyed) socket.write(repeated, send);
    };
    socket.write(answerHead(status), send);
  });
}

const route = { pauseMilliseconds: 100, resumable: true };

describe('bytes without end in chunks of one byte', { timeout: 120_000 }, () => {
  // An entry ran out of memory by keeping an object for each byte of one error answer.
  it('take memory for no more than the size limit of an error answer', async () => {
    await using disposables = createDisposalStack();
    const upstream = disposables.use(await startEndlessUpstream('500 Internal Server Error'));
    const connections = disposables.use(createUpstreamConnections('127.0.0.1'));
    const entry = createEntryContext(connections, '');
    const request = createPlayedRequest({ id: 'r', route });
    const slot = createSlot('engine-1', upstream.port);
    const { outcome } = startStream(entry, request, slot, null, ignoringObserver);
    const growth = await peakGrowth(outcome);
    assert.equal((await outcome).kind, 'broken');
    assert.ok(growth < MAXIMUM_GROWTH_BYTES, `${growth} bytes`);
  });

  it('take memory for no more than the size limit of a buffered answer', async () => {
    await using disposables = createDisposalStack();
    const upstream = disposables.use(await startEndlessUpstream('200 OK'));
    const connections = disposables.use(createUpstreamConnections('127.0.0.1'));
    const entry = createEntryContext(connections, '');
    const address = `127.0.0.1:${upstream.port}`;
    const request = createPlayedRequest({ id: 'r', route });
    const upstreamRecord = { id: 'u', startedAt: 1, address };
    const attempt = attemptBuffered(entry, request, upstreamRecord, FLOOD_MILLISECONDS);
    const growth = await peakGrowth(attempt);
    assert.equal((await attempt).kind, 'unknown');
    assert.ok(growth < 8 * MEBIBYTE + MAXIMUM_GROWTH_BYTES, `${growth} bytes`);
  });

  const floods = [
    { name: 'of an event', repeated: chunksOf('x') },
    { name: 'of blank lines in chunks of one byte', repeated: chunksOf('\n') },
    { name: 'of blank lines', repeated: Buffer.from(`ee48\r\n${'\n'.repeat(0xee48)}\r\n`) },
  ];
  for (const { name, repeated } of floods)
    // An entry answered nobody for seconds while it searched the same bytes again and again, and ran
    // out of memory with a write for each blank line.
    it(`end a stream without holding up the process (${name})`, async () => {
      await using disposables = createDisposalStack();
      const upstream = disposables.use(await startEndlessUpstream('200 OK', repeated));
      const connections = disposables.use(createUpstreamConnections('127.0.0.1'));
      const entry = createEntryContext(connections, '');
      const request = createPlayedRequest({ id: 'r', route });
      const slot = createSlot('engine-1', upstream.port);
      let events = 0;
      const stalls = monitorEventLoopDelay({ resolution: 5 });
      stalls.enable();
      const { outcome } = startStream(entry, request, slot, null, {
        ...ignoringObserver,
        event: () => {
          events += 1;
        },
      });
      assert.equal((await outcome).kind, 'broken');
      stalls.disable();
      assert.equal(events, 0);
      const longestMilliseconds = stalls.max / NANOSECONDS_PER_MILLISECOND;
      assert.ok(longestMilliseconds < MAXIMUM_STALL_MILLISECONDS, `${longestMilliseconds} ms`);
    });

  it('take memory for no more than the size limit of an answer of an engine or origin', async () => {
    await using disposables = createDisposalStack();
    const upstream = disposables.use(await startEndlessUpstream('200 OK'));
    const address = { host: '127.0.0.1', port: upstream.port };
    const client = disposables.use(createHttpClient(address, '127.0.0.1'));
    const call = client.call({ method: 'GET', path: '/', body: null }, FLOOD_MILLISECONDS);
    const growth = await peakGrowth(call);
    await assert.rejects(call);
    assert.ok(growth < 8 * MEBIBYTE + MAXIMUM_GROWTH_BYTES, `${growth} bytes`);
  });
});

/** Parts of one byte, each of which pins the buffer of a read of its own, as those of a socket do. */
function singleByteRead(): Buffer {
  return Buffer.allocUnsafeSlow(256).subarray(0, 1);
}

/** Number of parts; kept one by one they take ten times the growth that is allowed. */
const PARTS = MEBIBYTE / 4;

describe('a body in parts of one byte', { timeout: 60_000 }, () => {
  // A caller without a key ended an entry by a body within the limit.
  it('takes memory for no more than its size from a caller', async () => {
    const body = async function* (): AsyncGenerator<Buffer> {
      for (let size = 0; size < PARTS; size += 1) {
        if (size % 4_096 === 0) await pause(1);
        yield singleByteRead();
      }
    };
    const request = Object.assign(Readable.from(body()), {
      headers: { 'transfer-encoding': 'chunked' },
    });
    const guard = createClientGuard(2 * MEBIBYTE);
    const client = {
      request,
      account: guard.memory.open(0),
      input: { bodyPartReceived: () => undefined, hasSmallParts: false },
      guard,
      time: { now: () => performance.now() },
    } as unknown as ClientExchange;
    const reading = readClientBody(client, 2 * MEBIBYTE);
    const growth = await peakGrowth(reading);
    const read = await reading;
    assert.equal(read.kind === 'whole' ? read.bytes?.length : read.kind, PARTS);
    assert.ok(growth < MAXIMUM_GROWTH_BYTES, `${growth} bytes`);
  });

  it('takes memory for no more than its size in a frame of a peer', async () => {
    const reader = createFrameReader();
    const frame = encodeFrame(Buffer.alloc(PARTS));
    const reading = (async () => {
      const messages: unknown[] = [];
      for (let offset = 0; offset < frame.length; offset += 1) {
        if (offset % 4_096 === 0) await pause(1);
        const part = singleByteRead();
        part[0] = frame[offset] ?? 0;
        messages.push(...reader.push(part));
      }
      return messages;
    })();
    const growth = await peakGrowth(reading);
    assert.equal((await reading).length, 1);
    assert.ok(growth < MAXIMUM_GROWTH_BYTES, `${growth} bytes`);
  });
});
