import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import { Decoder, Encoder } from 'cbor-x';

/** Size of the length field before each frame, in bytes. */
const LENGTH_FIELD_BYTES = 4;

/** Largest frame that a process accepts, in bytes. */
export const MAXIMUM_FRAME_BYTES = 64 * 1024 * 1024;

const encoder = new Encoder({ useRecords: false, tagUint8Array: false });
const decoder = new Decoder({ useRecords: false });

/** Encodes one value as CBOR. */
export function encodeBody(value: unknown): Buffer {
  return encoder.encode(value);
}

/** Encodes one message as a length field and CBOR. */
export function encodeFrame(message: unknown): Buffer {
  const body = encodeBody(message);
  const frame = Buffer.allocUnsafe(LENGTH_FIELD_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, LENGTH_FIELD_BYTES);
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
 * Throws a {@link ResultError} with `MessageMalformed` when a frame is too large or is not CBOR;
 * the connection is then of no further use.
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
    return LENGTH_FIELD_BYTES + length;
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
        messages.push(decodeBody(buffer.subarray(LENGTH_FIELD_BYTES, wanted)));
        buffer = buffer.subarray(wanted);
      }
      parts = buffer.length === 0 ? [] : [buffer];
      held = buffer.length;
      return messages;
    },
  };
}

/** Decodes one CBOR value; throws a {@link ResultError} with `MessageMalformed`. */
export function decodeBody(body: Buffer): unknown {
  try {
    return decoder.decode(body);
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new ResultError(ResultCode.MessageMalformed, `a frame is not CBOR: ${reason}`);
  }
}
