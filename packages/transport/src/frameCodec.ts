import { crc32 } from 'node:zlib';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import { Decoder, Encoder } from 'cbor-x';
import { frameKeyMap } from './frameKeys.js';

/** Size of the length field at the start of each frame, in bytes. */
const LENGTH_FIELD_BYTES = 4;

/** Size of the CRC-32 of the body, which follows the length, in bytes. */
const CHECKSUM_FIELD_BYTES = 4;

/** Bytes before the body of a frame. */
const HEADER_BYTES = LENGTH_FIELD_BYTES + CHECKSUM_FIELD_BYTES;

/** Largest frame that a process accepts, in bytes. */
export const MAXIMUM_FRAME_BYTES = 64 * 1024 * 1024;

const encoder = new Encoder({
  useRecords: false,
  tagUint8Array: false,
  keyMap: { ...frameKeyMap },
});
const decoder = new Decoder({ useRecords: false, keyMap: { ...frameKeyMap } });

/** Encodes one value as CBOR. */
export function encodeBody(value: unknown): Buffer {
  return encoder.encode(value);
}

/**
 * Encodes one message as length, checksum and CBOR.
 *
 * @remarks
 * The checksum of TCP misses some of the changes that a broken device on the way makes; a changed
 * number in a claim or a log entry would still be CBOR.
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
  /** Takes the next bytes and returns the messages that they complete, in order. */
  push(bytes: Buffer): readonly unknown[];
}

/**
 * Creates a reader for one connection.
 *
 * @remarks
 * Throws a {@link ResultError} with `MessageMalformed` when a frame is too large, fails its checksum
 * or is not CBOR; the connection is then of no further use.
 */
export function createFrameReader(maximumFrameBytes: number = MAXIMUM_FRAME_BYTES): FrameReader {
  let parts: Buffer[] = [];
  let held = 0;
  let wanted = LENGTH_FIELD_BYTES;

  const frameLength = (bytes: Buffer): number => {
    const length = bytes.readUInt32BE(0);
    if (length > maximumFrameBytes) {
      throw new ResultError(ResultCode.MessageMalformed, `a frame of ${length} bytes is too large`);
    }
    return HEADER_BYTES + length;
  };

  return {
    push(bytes) {
      parts.push(bytes);
      held += bytes.length;
      if (held < wanted) return [];
      let buffer = parts.length === 1 ? bytes : Buffer.concat(parts, held);
      const messages: unknown[] = [];
      for (;;) {
        if (buffer.length < LENGTH_FIELD_BYTES) {
          wanted = LENGTH_FIELD_BYTES;
          break;
        }
        wanted = frameLength(buffer);
        if (buffer.length < wanted) break;
        messages.push(decodeFrame(buffer.subarray(0, wanted)));
        buffer = buffer.subarray(wanted);
      }
      parts = buffer.length === 0 ? [] : [buffer];
      held = buffer.length;
      return messages;
    },
  };
}

/** Decodes one CBOR value; throws a {@link ResultError} with `MessageMalformed`. */
export function decodeFrame(frame: Buffer): unknown {
  const body = frame.subarray(HEADER_BYTES);
  if (crc32(body) !== frame.readUInt32BE(LENGTH_FIELD_BYTES)) {
    throw new ResultError(ResultCode.MessageMalformed, 'a frame fails its checksum');
  }
  return decodeBody(body);
}

/** Decodes one value from CBOR; throws a {@link ResultError} with `MessageMalformed`. */
export function decodeBody(body: Uint8Array): unknown {
  try {
    return decoder.decode(body);
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new ResultError(ResultCode.MessageMalformed, `a frame is not CBOR: ${reason}`);
  }
}
