import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { runStream } from '../src/entryStream.js';
import { createUpstreamConnections } from '../src/upstreamConnections.js';
import { createEntryContext, createOpenSlots } from './entryContextFixture.js';
import { createPlayedRequest } from './entryRequestFixture.js';
import { startRawUpstream } from './rawUpstream.js';

const REQUEST_ID = 'request-1';
const event = (id: number): string => `id: ${id}\ndata: ${id}\n\n`;
const EVENT_STREAM = 'content-type: text/event-stream\r\n';

function head(status: string, extra = '', signed = true): string {
  const signature = signed ? 'x-signed: yes\r\n' : '';
  return `HTTP/1.1 ${status}\r\nx-request: ${REQUEST_ID}\r\n${signature}${extra}`;
}

const framings = {
  length: (text: string) => `content-length: ${text.length}\r\n\r\n${text}`,
  chunks: (text: string) => {
    const chunk = text === '' ? '' : `${text.length.toString(16)}\r\n${text}\r\n`;
    return `transfer-encoding: chunked\r\n\r\n${chunk}0\r\n\r\n`;
  },
  neither: (text: string) => `\r\n${text}`,
} as const;
type Framing = keyof typeof framings;

interface Played {
  /** Bytes of the answer's body that the caller received. */
  readonly body: string;
  readonly status: number | null;
  readonly ending: 'whole' | 'broken' | 'refused' | 'none';
  readonly sent: number;
}

/** Plays a stream at engines that send these bytes in turn and close; the last repeats. */
async function play(answers: readonly string[], attempts = 2): Promise<Played> {
  await using upstream = await startRawUpstream(({ socket, index }) => {
    socket.end(answers[Math.min(index, answers.length - 1)] ?? '');
  });
  await using connections = createUpstreamConnections('127.0.0.1');
  let body = '';
  let status: number | null = null;
  let ending: Played['ending'] = 'none';
  const entry = createEntryContext(connections, '');
  const request = createPlayedRequest({
    id: REQUEST_ID,
    method: 'POST',
    route: { pauseMilliseconds: 400, resumable: true, attempts, objectiveMilliseconds: 500 },
    answer: {
      get state() {
        return ending === 'none' || ending === 'refused' ? 'open' : ending;
      },
      get headersSent() {
        return status !== null;
      },
      sendHeaders: (sentStatus: number) => {
        status ??= sentStatus;
      },
      sendBuffered: (sentStatus: number, _headers: unknown, bytes: Buffer) => {
        assert.equal(status, null);
        status = sentStatus;
        body += bytes.toString();
        ending = 'whole';
      },
      write: (bytes: Buffer) => {
        body += bytes.toString();
        return true;
      },
      onDrain: () => undefined,
      finish: () => {
        ending = 'whole';
      },
      refuse: () => {
        ending = 'refused';
      },
      destroyConnection: () => {
        ending = 'broken';
      },
    },
  });
  await runStream(entry, createOpenSlots(upstream.port), request);
  return { body, status, ending, sent: upstream.requests.length };
}

/** A stream that breaks off inside its third event. */
const interrupted = `${head('200 OK', EVENT_STREAM)}\r\n${event(1)}${event(2)}id: 3\nda`;
const ERROR_TEXT = 'the engine failed\n\nno such stream\n\n';
const ERROR_HEAD = 'HTTP/1.1 500 Internal Server Error\r\ncontent-length: 5\r\n\r\nerror\n\n';

const errorAnswers: Readonly<Record<string, (framing: Framing) => string>> = {
  'a signed error': (framing) => head('500 Internal Server Error') + framings[framing](ERROR_TEXT),
  'an error without a signature': (framing) =>
    head('502 Bad Gateway', '', false) + framings[framing](ERROR_TEXT),
  'a refusal': (framing) =>
    head('503 Service Unavailable', 'x-not-run: 1\r\n', false) + framings[framing](ERROR_TEXT),
  'a refusal for the version': (framing) =>
    head('421 Misdirected Request', '', false) + framings[framing](ERROR_TEXT),
  'a missing stream': (framing) => head('404 Not Found') + framings[framing](ERROR_TEXT),
  'no content': () => `${head('204 No Content')}\r\n`,
  'a success that is not a stream': (framing) =>
    head('200 OK', 'content-type: application/json\r\n') + framings[framing](ERROR_TEXT),
  'an error text in a stream': (framing) =>
    head('200 OK', EVENT_STREAM) + framings[framing](ERROR_TEXT),
  'the head of an error in a stream': (framing) =>
    head('200 OK', EVENT_STREAM) + framings[framing](ERROR_HEAD),
};

describe('a stream that broke off', { timeout: 30_000 }, () => {
  for (const framing of ['length', 'chunks', 'neither'] as const) {
    it(`goes on at the next engine (${framing})`, async () => {
      const rest = event(3) + event(4);
      const next = head('200 OK', EVENT_STREAM) + framings[framing](rest);
      assert.deepEqual(await play([interrupted, next]), {
        body: event(1) + event(2) + rest,
        status: 200,
        ending: 'whole',
        sent: 2,
      });
    });

    for (const [name, answer] of Object.entries(errorAnswers)) {
      it(`gets nothing of ${name} and is not ended as complete (${framing})`, async () => {
        const played = await play([interrupted, answer(framing)]);
        assert.equal(played.body, event(1) + event(2));
        assert.equal(played.ending, 'broken');
      });
    }

    it(`gets only the events before an error text in the rest of it (${framing})`, async () => {
      const rest = event(3) + ERROR_HEAD;
      const played = await play([
        interrupted,
        head('200 OK', EVENT_STREAM) + framings[framing](rest),
      ]);
      assert.equal(played.body, event(1) + event(2) + event(3));
      assert.equal(played.ending, 'broken');
    });
  }

  it('is not complete when the next engine closes after its head', async () => {
    const unframed = `${head('200 OK', EVENT_STREAM)}\r\n`;
    assert.equal((await play([interrupted, unframed])).ending, 'broken');
  });

  it('is complete when the next engine states that no event follows', async () => {
    for (const framing of ['length', 'chunks'] as const) {
      const nothing = head('200 OK', EVENT_STREAM) + framings[framing]('');
      assert.equal((await play([interrupted, nothing])).ending, 'whole');
    }
  });
});
