import { readFile } from 'node:fs/promises';
import { toFieldIssues } from '@burdockrail/common/fieldIssue.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { addressSchema, peerSchema } from '@burdockrail/settings/settingsSchema.js';
import { parse } from 'yaml';
import { z } from 'zod';
import { IssuesError } from './commandFailure.js';
import type { OperatorTargets } from './operatorTarget.js';

/**
 * Schema of a profile: the `peers` of a process's settings; an entry may also have the address of
 * its HTTP port.
 */
export const profileSchema = z
  .strictObject({
    peers: z
      .array(peerSchema.unwrap().extend({ http: addressSchema.optional() }).readonly())
      .min(1)
      .readonly(),
  })
  .readonly();

/** Reads a profile file. */
export async function readProfile(path: string): Promise<OperatorTargets> {
  const document = await readDocument(path);
  const checked = profileSchema.safeParse(document);
  if (!checked.success) {
    const issues = toFieldIssues(ResultCode.ProfileInvalid, document, checked.error.issues);
    throw new IssuesError(ResultCode.ProfileInvalid, issues, path);
  }
  const { peers } = checked.data;
  return {
    control: peers.filter((peer) => peer.roles.includes('control')),
    entries: peers.filter((peer) => peer.roles.includes('entry')),
    http: peers.flatMap((peer) => (peer.http === undefined ? [] : [peer.http])),
  };
}

async function readDocument(path: string): Promise<unknown> {
  try {
    return parse(await readFile(path, 'utf8'));
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new ResultError(ResultCode.ProfileInvalid, `${path}: ${reason}`);
  }
}
