import { createCipheriv, createHash } from 'node:crypto';
import { digestOf, type Digest } from '@burdockrail/common/digest.js';
import { createSeededRandom } from '@burdockrail/common/seededRandom.js';

/** Description of a version of a model, from which its bytes are generated. */
export interface WeightVersion {
  readonly model: string;
  readonly version: string;
  /** Total size, in bytes. */
  readonly size: number;
  readonly chunkSize: number;
  /** Share of the chunks, 0 to 1, that are identical to those of another version of the same size. */
  readonly sharedWith?: { readonly version: string; readonly share: number };
}

/** Manifest that the weight store serves. */
export interface WeightManifest {
  readonly model: string;
  readonly version: string;
  readonly digest: Digest;
  readonly size: number;
  readonly chunkSize: number;
  readonly chunks: readonly Digest[];
}

/** The bytes of one version, held in memory. */
export interface WeightContent {
  readonly manifest: WeightManifest;
  chunk(index: number): Buffer;
  /** Bytes from `start` to `end`, excluding `end`. */
  slice(start: number, end: number): Buffer;
}

const KEY_BYTES = 16;
const INITIAL_VECTOR = Buffer.alloc(KEY_BYTES);
const SEED_BYTES = 4;

function pseudoRandomBytes(label: string, length: number): Buffer {
  const key = createHash('sha256').update(label).digest().subarray(0, KEY_BYTES);
  return createCipheriv('aes-128-ctr', key, INITIAL_VECTOR).update(Buffer.alloc(length));
}

function chunkCount(version: WeightVersion): number {
  return Math.ceil(version.size / version.chunkSize);
}

/** Version from which each chunk takes its bytes. */
function chunkVersions(version: WeightVersion): readonly string[] {
  const count = chunkCount(version);
  const versions = Array.from({ length: count }, () => version.version);
  if (version.sharedWith === undefined) return versions;
  const seed = createHash('sha256').update(version.version).digest().readInt32BE(SEED_BYTES);
  const random = createSeededRandom(seed);
  const order = versions.map((_version, index) => ({ index, rank: random.next() }));
  order.sort((left, right) => left.rank - right.rank);
  const sharedCount = Math.round(count * version.sharedWith.share);
  for (const { index } of order.slice(0, sharedCount)) versions[index] = version.sharedWith.version;
  return versions;
}

/** Generates the bytes of a version and its manifest. */
export function createWeightContent(version: WeightVersion): WeightContent {
  const parts = chunkVersions(version).map((chunkVersion, index) => {
    const length = Math.min(version.chunkSize, version.size - index * version.chunkSize);
    return pseudoRandomBytes(`${version.model}/${chunkVersion}/${index}`, length);
  });
  const content = Buffer.concat(parts);
  const slice = (start: number, end: number): Buffer => content.subarray(start, end);
  return {
    manifest: {
      model: version.model,
      version: version.version,
      digest: digestOf(content),
      size: version.size,
      chunkSize: version.chunkSize,
      chunks: parts.map((part) => digestOf(part)),
    },
    chunk: (index) => slice(index * version.chunkSize, (index + 1) * version.chunkSize),
    slice,
  };
}
