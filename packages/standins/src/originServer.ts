import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { monotonicClock } from '@burdockrail/common/timeSource.js';
import { createFaultSet, type FaultBase } from './faultSet.js';
import { controlRoutes } from './standinControl.js';
import { createRateLimiter, type RateLimiter } from './rateLimiter.js';
import {
  createStandinServer,
  headerOf,
  sendJson,
  type StandinAddress,
  type StandinExchange,
  type StandinServer,
} from './standinServer.js';
import type { WeightCatalogue } from './weightCatalogue.js';
import type { WeightContent } from './weightContent.js';

/** Bytes per write; small, so that concurrent connections share the rate evenly. */
const SLICE_BYTES = 16 * 1024;

/** Faults of an origin. */
export type OriginFault = FaultBase &
  (
    | { readonly kind: 'corrupt' }
    | { readonly kind: 'stall'; readonly milliseconds: number }
    | { readonly kind: 'cut'; readonly afterBytes: number }
    | { readonly kind: 'error' }
  );

/** Counts of an origin since its start. */
export interface OriginCounts {
  bytesServed: number;
  requests: number;
  /** Bytes served, by `model/version`. */
  readonly bytesByVersion: Record<string, number>;
}

/** Options of {@link createOriginServer}. */
export interface OriginOptions {
  readonly address: StandinAddress;
  readonly catalogue: WeightCatalogue;
  /** Total rate of all connections; unlimited by default. */
  readonly bytesPerSecond?: number;
}

interface ByteRange {
  readonly start: number;
  /** Offset of the first byte after the range. */
  readonly endExclusive: number;
}

function parseRange(header: string | undefined, size: number): ByteRange | undefined {
  if (header === undefined) return { start: 0, endExclusive: size };
  const match = /^bytes=(\d+)-(\d+)$/u.exec(header);
  if (match === null) return undefined;
  const start = Number(match[1]);
  const end = Math.min(Number(match[2]) + 1, size);
  return start < end ? { start, endExclusive: end } : undefined;
}

async function writeSlices(
  response: ServerResponse,
  bytes: Buffer,
  limiter: RateLimiter,
  onSlice: (length: number) => void,
): Promise<void> {
  for (let offset = 0; offset < bytes.length; offset += SLICE_BYTES) {
    const slice = bytes.subarray(offset, offset + SLICE_BYTES);
    const now = monotonicClock.now();
    const waitMilliseconds = limiter.reserveSendTime(slice.length, now) - now;
    if (waitMilliseconds >= 1) await delay(waitMilliseconds);
    if (response.destroyed) return;
    onSlice(slice.length);
    if (!response.write(slice))
      await Promise.race([once(response, 'drain'), once(response, 'close')]);
  }
}

/** Starts an HTTP origin that serves weights by byte range. */
export async function createOriginServer(options: OriginOptions): Promise<StandinServer> {
  const faults = createFaultSet<OriginFault>();
  const limiter = createRateLimiter(options.bytesPerSecond);
  const counts: OriginCounts = { bytesServed: 0, requests: 0, bytesByVersion: {} };

  const applyFaults = async (bytes: Buffer): Promise<Buffer> => {
    const stall = faults.consume('stall');
    if (stall !== undefined) await delay(stall.milliseconds);
    if (faults.consume('corrupt') === undefined) return bytes;
    const copy = Buffer.from(bytes);
    copy[0] = (copy[0] ?? 0) ^ 1;
    return copy;
  };

  const sendRange = async (
    exchange: StandinExchange,
    content: WeightContent,
    range: ByteRange,
  ): Promise<void> => {
    const { response } = exchange;
    const { size, model, version } = content.manifest;
    const bytes = await applyFaults(content.slice(range.start, range.endExclusive));
    const cut = faults.consume('cut');
    const isPartial = range.endExclusive - range.start < size;
    response.writeHead(isPartial ? 206 : 200, {
      'content-type': 'application/octet-stream',
      'content-length': bytes.length,
      'content-range': `bytes ${range.start}-${range.endExclusive - 1}/${size}`,
    });
    const key = `${model}/${version}`;
    await writeSlices(response, bytes.subarray(0, cut?.afterBytes), limiter, (length) => {
      counts.bytesServed += length;
      counts.bytesByVersion[key] = (counts.bytesByVersion[key] ?? 0) + length;
    });
    if (cut === undefined) response.end();
    else response.destroy();
  };

  const serveWeights = async (exchange: StandinExchange): Promise<void> => {
    const [model = '', version = ''] = exchange.parameters;
    counts.requests += 1;
    if (faults.consume('error') !== undefined) {
      sendJson(exchange.response, 503, { error: 'fault' });
      return;
    }
    const content = options.catalogue.find(model, version);
    if (content === undefined) {
      sendJson(exchange.response, 404, { error: 'no-such-version' });
      return;
    }
    const range = parseRange(headerOf(exchange.request, 'range'), content.manifest.size);
    if (range === undefined) {
      sendJson(exchange.response, 416, { error: 'bad-range' });
      return;
    }
    await sendRange(exchange, content, range);
  };

  return createStandinServer(options.address, [
    { method: 'GET', pattern: /^\/weights\/([^/]+)\/([^/]+)$/u, handle: serveWeights },
    ...controlRoutes({ counts: () => counts, faults }),
  ]);
}
