import { readFile } from 'node:fs/promises';
import { dirname, resolve } from 'node:path';
import { formatFieldIssue } from '@burdockrail/common/fieldIssue.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { failure, success, type Outcome } from '@burdockrail/common/outcome.js';
import { parse } from 'yaml';
import { checkSettings } from './settingsChecks.js';
import type { Settings } from './settingsSchema.js';

/** Parses and validates the text of a settings file; a failure lists one issue per line. */
export function parseSettings(text: string): Outcome<Settings> {
  let document: unknown;
  try {
    document = parse(text);
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return failure(ResultCode.SettingsInvalid, `the settings are not valid YAML: ${reason}`);
  }
  const check = checkSettings(document);
  if (check.kind === 'valid') return success(check.settings);
  const count = check.issues.length === 1 ? '1 fault' : `${check.issues.length} faults`;
  const lines = check.issues.map((issue) => `  ${formatFieldIssue(issue)}`);
  return failure(ResultCode.SettingsInvalid, [count, ...lines].join('\n'));
}

/** Reads and validates a settings file; a relative data folder is relative to the file's folder. */
export async function readSettings(path: string): Promise<Outcome<Settings>> {
  let text: string;
  try {
    text = await readFile(path, 'utf8');
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return failure(ResultCode.SettingsUnreadable, reason);
  }
  const parsed = parseSettings(text);
  if (parsed.kind === 'failure') return parsed;
  return success(resolveDataFolder(parsed.value, dirname(resolve(path))));
}

function resolveDataFolder(settings: Settings, baseFolder: string): Settings {
  if (settings.control === undefined) return settings;
  const dataFolder = resolve(baseFolder, settings.control.dataFolder);
  return { ...settings, control: { ...settings.control, dataFolder } };
}
