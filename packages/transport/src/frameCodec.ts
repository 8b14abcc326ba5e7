import { crc32 } from 'node:zlib';
import type { ByteBudget } from '@burdockrail/common/byteBudget.js';
import { createByteCollector } from '@burdockrail/common/byteCollector.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import { Decoder, Encoder } from 'cbor-x';
import { frameKeyMap } from './frameKeys.js';

/** Size of the length field at the start of each frame, in bytes. */
const LENGTH_FIELD_BYTES = 4;

/** Size of the CRC-32 of the body, which follows the length field, in bytes. */
const CHECKSUM_FIELD_BYTES = 4;

/** Size of the header before the body of a frame, in bytes. */
const HEADER_BYTES = LENGTH_FIELD_BYTES + CHECKSUM_FIELD_BYTES;

/** Default limit on the body of a received frame, in bytes. */
export const MAXIMUM_FRAME_BYTES = 64 * 1024 * 1024;

const encoder = new Encoder({
  useRecords: false,
  tagUint8Array: false,
  keyMap: { ...frameKeyMap },
});
const decoder = new Decoder({ useRecords: false, keyMap: { ...frameKeyMap } });

/** The other decoder renames the property `__proto__`, which this one keeps in a map. */
const mapDecoder = new Decoder({ useRecords: false, mapsAsObjects: false });

const PROTOTYPE_NAME = Buffer.from('__proto__');

const namesByKey: ReadonlyMap<unknown, string> = new Map(
  Object.entries(frameKeyMap).map(([name, key]) => [key, name]),
);

function toObjects(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(toObjects);
  if (!(value instanceof Map)) return value;
  return Object.fromEntries(
    [...value].map(([key, field]) => [namesByKey.get(key) ?? String(key), toObjects(field)]),
  );
}

function mayHavePrototypeName(body: Uint8Array): boolean {
  return Buffer.from(body.buffer, body.byteOffset, body.length).includes(PROTOTYPE_NAME);
}

/** Encodes a value as CBOR. */
export function encodeBody(value: unknown): Buffer {
  return encoder.encode(value);
}

/**
 * Encodes a message as a frame of length, checksum and CBOR.
 *
 * @remarks
 * The TCP checksum misses some corruption by faulty devices on the path, and a claim or log entry
 * with a corrupted number would still be valid CBOR.
 */
export function encodeFrame(message: unknown): Buffer {
  const body = encodeBody(message);
  const frame = Buffer.allocUnsafe(HEADER_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  frame.writeUInt32BE(crc32(body), LENGTH_FIELD_BYTES);
  body.copy(frame, HEADER_BYTES);
  return frame;
}

/** Splits a byte stream into messages. */
export interface FrameReader {
  /** Consumes the next bytes and returns the messages that they complete, in order. */
  push(bytes: Buffer): readonly unknown[];
}

/**
 * Creates a reader for one connection.
 *
 * @remarks
 * `push` throws a {@link ResultError} with `MessageMalformed` if a frame is too large, has an
 * invalid checksum or is not CBOR, or if the budget has no room for it; the connection is then
 * unusable.
 */
export function createFrameReader(
  maximumFrameBytes: number = MAXIMUM_FRAME_BYTES,
  budget?: ByteBudget,
): FrameReader {
  const pending = createByteCollector({
    maximumBytes: HEADER_BYTES + maximumFrameBytes,
    ...(budget === undefined ? {} : { budget }),
  });
  /** Bytes of the pending frame, or of its length field as long as that is incomplete. */
  let requiredBytes = LENGTH_FIELD_BYTES;

  const frameLength = (bytes: Buffer): number => {
    const length = bytes.readUInt32BE(0);
    if (length > maximumFrameBytes) {
      throw new ResultError(
        ResultCode.MessageMalformed,
        `frame of ${length} bytes exceeds the size limit`,
      );
    }
    return HEADER_BYTES + length;
  };

  return {
    push(bytes) {
      const messages: unknown[] = [];
      for (let rest = bytes; rest.length > 0;) {
        if (pending.size === 0) {
          requiredBytes = rest.length < LENGTH_FIELD_BYTES ? LENGTH_FIELD_BYTES : frameLength(rest);
          if (rest.length >= requiredBytes) {
            messages.push(decodeFrame(rest.subarray(0, requiredBytes)));
            rest = rest.subarray(requiredBytes);
            continue;
          }
        }
        const part = rest.subarray(0, requiredBytes - pending.size);
        rest = rest.subarray(part.length);
        if (!pending.add(part))
          throw new ResultError(ResultCode.MessageMalformed, 'no memory for the frame');
        if (pending.size < requiredBytes) break;
        const gathered = pending.take();
        if (requiredBytes === LENGTH_FIELD_BYTES) {
          requiredBytes = frameLength(gathered);
          pending.add(gathered);
        } else messages.push(decodeFrame(gathered));
      }
      return messages;
    },
  };
}

/**
 * Verifies the checksum of a complete frame and decodes its body.
 *
 * @throws {@link ResultError} with `MessageMalformed` if the checksum or the CBOR is invalid.
 */
export function decodeFrame(frame: Buffer): unknown {
  const body = frame.subarray(HEADER_BYTES);
  if (crc32(body) !== frame.readUInt32BE(LENGTH_FIELD_BYTES)) {
    throw new ResultError(ResultCode.MessageMalformed, 'frame has an invalid checksum');
  }
  return decodeBody(body);
}

/**
 * Decodes a value from CBOR.
 *
 * @throws {@link ResultError} with `MessageMalformed` if the bytes are not CBOR.
 */
export function decodeBody(body: Uint8Array): unknown {
  try {
    return mayHavePrototypeName(body) ? toObjects(mapDecoder.decode(body)) : decoder.decode(body);
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new ResultError(ResultCode.MessageMalformed, `invalid CBOR: ${reason}`);
  }
}
