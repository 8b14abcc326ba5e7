/**
 * Writes the pages that are made from the code, or with `--check` compares them with it.
 *
 *     node scripts/docs.mjs [--check] [CONFIGURATION | EVENTS | RESULTS]...
 */
import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { format, resolveConfig } from 'prettier';
import { z } from 'zod';
import { workspaceRoot } from './workspace.mjs';

const NOTE = '<!-- Made by `npm run docs`; edit the code instead. -->';

const pages = {
  CONFIGURATION: configurationPage,
  EVENTS: eventsPage,
  RESULTS: resultsPage,
};

async function load(packageName, module) {
  const path = join('packages', packageName, 'dist', 'src', `${module}.js`);
  return import(new URL(`../${path}`, import.meta.url).href);
}

function cellText(value) {
  return String(value).replaceAll('|', '\\|').replaceAll('\n', ' ');
}

function table(head, rows) {
  const line = (cells) => `| ${cells.map(cellText).join(' | ')} |`;
  return [line(head), line(head.map(() => '---')), ...rows.map(line)].join('\n');
}

async function eventsPage() {
  const { eventCatalogue } = await load('telemetry', 'eventCatalogue');
  const events = Object.entries(eventCatalogue).sort(([, a], [, b]) => a.number - b.number);
  const rows = events.map(([name, { number, level, text }]) => [number, name, level, text]);
  return [
    '# Events',
    NOTE,
    'Every line of a log is one event. In JSON it has the fields `time`, `process`, `event` (the number), `name` and `level`, and those of the event itself. `burdockrail events FILE` prints a JSON log for people and filters it; `burdockrail events` prints this table.',
    'Numbers: 1xxx process, 2xxx requests, 3xxx agreement and configuration, 4xxx membership, 5xxx weights, 6xxx connections. A number is never given to another event.',
    table(['number', 'name', 'level', 'meaning'], rows),
  ];
}

async function resultsPage() {
  const { ResultCode, resultDescriptions } = await load('common', 'resultCode');
  const { resultAdvice } = await load('common', 'resultAdvice');
  const codes = Object.values(ResultCode).filter((code) => typeof code === 'number');
  const rows = codes
    .sort((left, right) => left - right)
    .map((code) => {
      const { httpStatus, text } = resultDescriptions[code];
      return [code, ResultCode[code], httpStatus, text, resultAdvice[code]];
    });
  return [
    '# Results',
    NOTE,
    'Every answer of the system carries a number: callers find it in the header `Burdockrail-Result`, beside `Burdockrail-Run` (`ran`, `not-run`, `unknown`); the command line writes `NUMBER Name: detail`. The last column says what each asks of the operator on call; the procedures stand in [OPERATING.md](OPERATING.md).',
    'Numbers: 1xx requests, 2xx claims of non-repeatable requests, 3xx agreement and configuration changes, 4xx fleet programs, settings and the command line, 5xx weights, 6xx connections between processes.',
    table(['number', 'name', 'HTTP status', 'meaning', 'what to do'], rows),
  ];
}

function typeText(node) {
  if (node.enum !== undefined) return node.enum.map((value) => `\`${value}\``).join(', ');
  if (node.anyOf !== undefined) return 'IP number';
  if (node.type === 'array') return `list of ${typeText(node.items)}`;
  if (node.type === 'object') return node.properties === undefined ? 'map' : 'fields';
  if (node.format === 'uri') return 'URL';
  if (node.type === 'integer') return 'whole number';
  return node.type;
}

function requirement(node, isRequired) {
  if (node.default !== undefined) return `\`${JSON.stringify(node.default)}\``;
  return isRequired ? 'required' : 'none';
}

/** Rows of a schema's fields, depth first; elements of lists are written `[]`. */
function fieldRows(node, prefix = '') {
  const required = new Set(node.required ?? []);
  return Object.entries(node.properties ?? {}).flatMap(([key, child]) => {
    const path = `${prefix}${key}`;
    const row = [
      `\`${path}\``,
      typeText(child),
      requirement(child, required.has(key)),
      child.description ?? '',
    ];
    const inner = child.type === 'array' ? child.items : child;
    const innerPrefix = child.type === 'array' ? `${path}[].` : `${path}.`;
    return [row, ...fieldRows(inner, innerPrefix)];
  });
}

function schemaTable(schema) {
  const node = z.toJSONSchema(schema, { io: 'input', reused: 'inline' });
  return table(['field', 'type', 'default', 'meaning'], fieldRows(node));
}

async function configurationPage() {
  const { settingsSchema } = await load('settings', 'settingsSchema');
  const { settingsDefaultsYaml } = await load('settings', 'settingsDefaults');
  const { fleetConfigurationSchema } = await load('fleet', 'fleetConfiguration');
  return [
    '# Configuration',
    NOTE,
    'Two documents drive a fleet. Each process reads its own **settings** when it starts: who it is and where the others are. The **fleet configuration** is one for all; operators write it as a program (`packages/operator`, examples in `examples/`), and a quorum accepts it while everything runs.',
    'Unknown fields are refused in both. Names are lower-case letters, digits, `.` and `-`, at most 63 characters. Processes are addressed by IP number only.',
    '## Settings of a process',
    '`burdockraild --check-settings FILE` checks a file and says for each fault its number, its path and what was expected; `burdockraild --print-defaults` prints the defaults as YAML:',
    `\`\`\`yaml\n${settingsDefaultsYaml()}\`\`\``,
    schemaTable(settingsSchema),
    'Checked between the fields: at least one of `entry`, `control` and `agent`; a process that is an entry or a control replica stands in `peers` with its own data centre, roles and address; the names and addresses of `peers` differ; an agent has an entry in its own data centre; the agent of a model has `weightStore` and `origin`.',
    '## Configuration of a fleet',
    '`burdockrail config check PROGRAM` checks what a program makes; `burdockrail config print PROGRAM` prints it as YAML. Lists are put in the order of their names, so that equal fleets have equal digests.',
    schemaTable(fleetConfigurationSchema),
    'Checked between the fields: names differ within each list; every data centre that a service names is declared, and its home has an upstream; a model has weights and a plain service has none; one version has one digest everywhere; a repeatable route never lies within a non-repeatable one. The most specific route of a request decides; spellings of the same path (doubled slashes, escapes, capital letters) count as equal. Without a route, requests of models may be repeated, and those of plain services when HTTP calls their method idempotent. Requests of teams that the fleet does not declare are refused.',
  ];
}

async function pageText(name) {
  const blocks = await pages[name]();
  const path = join(workspaceRoot, 'docs', `${name}.md`);
  const options = await resolveConfig(path);
  return { path, text: await format(`${blocks.join('\n\n')}\n`, { ...options, filepath: path }) };
}

function currentText(path) {
  try {
    return readFileSync(path, 'utf8');
  } catch {
    return '';
  }
}

const parameters = process.argv.slice(2);
const isCheck = parameters.includes('--check');
const named = parameters.filter((parameter) => parameter in pages);
for (const name of named.length > 0 ? named : Object.keys(pages)) {
  const { path, text } = await pageText(name);
  if (!isCheck) writeFileSync(path, text);
  else if (currentText(path) !== text) {
    console.error(`docs/${name}.md differs from the code: run npm run docs`);
    process.exitCode = 1;
  }
}
