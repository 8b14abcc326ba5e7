import { readFile } from 'node:fs/promises';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { failure, success, type Outcome } from '@burdockrail/common/outcome.js';
import { parse } from 'yaml';
import { settingsSchema, type Settings } from './settingsSchema.js';

/** Checks the text of a settings file. */
export function parseSettings(text: string): Outcome<Settings> {
  let document: unknown;
  try {
    document = parse(text);
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return failure(ResultCode.SettingsInvalid, `not YAML: ${reason}`);
  }
  const checked = settingsSchema.safeParse(document);
  if (checked.success) return success(checked.data);
  const issues = checked.error.issues.map(
    (issue) => `${issue.path.join('.') || '(root)'}: ${issue.message}`,
  );
  return failure(ResultCode.SettingsInvalid, issues.join('; '));
}

/** Reads and checks a settings file. */
export async function readSettings(path: string): Promise<Outcome<Settings>> {
  try {
    return parseSettings(await readFile(path, 'utf8'));
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return failure(ResultCode.SettingsUnreadable, reason);
  }
}
