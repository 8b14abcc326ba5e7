import { spawn } from 'node:child_process';
import { randomInt } from 'node:crypto';
import { once } from 'node:events';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createServer } from 'node:net';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { setTimeout as pause } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

const repository = fileURLToPath(new URL('../../', import.meta.url));

export const CONTROL_PORT = 8000;
export const FRONT_PORT = 8005;
const READY_PORT = 8002;
const APP_PORT = 8080;

/** Time from the start of the machines to that of the traffic, in milliseconds. */
const LEAD_MILLISECONDS = 12_000;

/** Exit code of a case whose rule was broken; Node itself ends with 1 after an error. */
const BROKEN_EXIT_CODE = 3;

/** Time after which a case is given up, in milliseconds. */
const LONGEST_CASE_MILLISECONDS = 112_000;

/** Programs and arguments of the roles in the deploy file. */
function readCommands() {
  const text = readFileSync(join(repository, 'deploy', 'system.toml'), 'utf8');
  const commands = new Map();
  for (const section of text.split(/^\[roles\./mu).slice(1)) {
    const role = section.slice(0, section.indexOf(']'));
    const run = /^run = "([^"]+)"$/mu.exec(section)?.[1];
    if (run === undefined) throw new Error(`role ${role} has no command`);
    commands.set(role, run.split(' '));
  }
  return commands;
}

/** Bounds and limits of the small site pus-stalowki. */
const commonSettings = [
  'zones.maz-a=mazowsze',
  'internal_ports=7700,7715',
  'heartbeat_interval_ms=1200',
  'limits.cpu_cores=1',
  'discovery=registration',
  'entry=vip',
  'contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,chunks',
  'fault_tolerance.machines=1',
  'fault_tolerance.zones=1',
  'fault_tolerance.regions=0',
  'bounds.seed_lag_s=3',
  'bounds.addr_reuse_s=2',
  'bounds.contact_ms=3000',
  'bounds.ack_ms=4000',
  'bounds.catch_up_s=4',
  'bounds.drain_ms=2000',
  'bounds.grace_s=8',
  'bounds.lost_slack_ms=200',
  'bounds.config_apply_ms=2000',
  'bounds.rollback_slack_ms=250',
  'bounds.max_stretch_ms=5000',
  'bounds.revoke_fail_closed=true',
  'bounds.revoke_ms=5000',
  'bounds.retry_budget_ratio=0.2',
  'bounds.budget_window_s=10',
  'bounds.retry_budget_slack=219',
  'bounds.recover_s=12',
  'bounds.pass_ms=120',
  'bounds.again_s=0',
  'bounds.version_ms=8000',
  'bounds.version_all_ms=0',
  'config_mode=highest',
];

const roleSettings = {
  control: ({ host, name }, folder) => [
    'machine_class=core',
    'serves=control',
    `listen.control=${host}:${CONTROL_PORT}`,
    `data_dir=${join(folder, name)}`,
    'in_tolerance=true',
    'limits.memory_mb=346',
    'limits.link_mbps=1000',
  ],
  entry: ({ host }) => [
    'machine_class=front',
    'serves=front',
    `listen.front=${host}:${FRONT_PORT}`,
    `listen.ready=${host}:${READY_PORT}`,
    'in_tolerance=false',
    'limits.memory_mb=272',
    'limits.link_mbps=490',
  ],
  agent: ({ host, service }) => [
    'machine_class=side',
    'serves=side',
    `app=${host}:${APP_PORT}`,
    `service=${service}`,
    'in_tolerance=false',
    'limits.memory_mb=218',
    'limits.link_mbps=5.11',
  ],
};

/**
 * Runs the project's programs with the commands of the deploy file, each with its settings file and
 * its own loopback address.
 */
export function createDeployment(record) {
  const folder = mkdtempSync(join(tmpdir(), 'burdockrail-review-'));
  const commands = readCommands();
  const running = new Map();
  const ownEnds = [];
  const expectedEnds = new WeakSet();

  const start = ({ name, role, host, seeds, bootstrap, service, emptyDisk }) => {
    // The disk of a machine is a folder of this case.
    if (emptyDisk === true) rmSync(join(folder, name), { recursive: true, force: true });
    const machine = { name, host, service };
    const lines = [
      `node_name=${name}`,
      `role=${role}`,
      `ip=${host}`,
      'zone=maz-a',
      'region=mazowsze',
      `seed_nodes=${seeds.map((seed) => `${seed}:${CONTROL_PORT}`).join(',')}`,
      `bootstrap=${bootstrap}`,
      ...commonSettings,
      ...roleSettings[role](machine, folder),
    ];
    const path = join(folder, `${name}.conf`);
    writeFileSync(path, `${lines.join('\n')}\n`);
    const [program, ...words] = commands.get(role);
    const child = spawn(program, words, {
      cwd: repository,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, BURDOCKRAIL_BOOT: path },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const chunks = [];
    for (const stream of [child.stdout, child.stderr])
      stream.on('data', (bytes) => chunks.push(bytes));
    child.once('exit', (code, signal) => {
      if (expectedEnds.has(child)) return;
      ownEnds.push({ name, reason: String(signal ?? code) });
      record.line(`platform: ${name} ended by itself (${signal ?? code})`);
    });
    running.set(name, { child, host, log: () => chunks.join('') });
    record.line(`platform: starts ${name} at ${host}, bootstrap=${bootstrap}`);
    return child;
  };

  const signal = async (name, kind) => {
    const { child } = running.get(name);
    expectedEnds.add(child);
    if (child.exitCode !== null || child.signalCode !== null) return;
    const exit = once(child, 'exit');
    record.line(`platform: ${kind} to ${name}`);
    child.kill(kind);
    if (kind === 'SIGSTOP' || kind === 'SIGCONT') return;
    await exit;
    record.line(`platform: ${name} has ended`);
  };

  return {
    folder,
    start,
    signal,
    ownEnds,
    pid: (name) => running.get(name).child.pid,
    log: (name) => running.get(name).log(),
    names: () => [...running.keys()],
    /** Name of the running control process that leads the group by its log; `null` if there is none. */
    leader: () => {
      const isLeader = ({ child, log }) => {
        if (child.exitCode !== null || child.signalCode !== null) return false;
        const roles = log()
          .split('\n')
          .filter((line) => line.includes('"groupRoleChanged"'));
        return roles.at(-1)?.includes('"role":"leader"') === true;
      };
      return [...running].find(([, process]) => isLeader(process))?.[0] ?? null;
    },
    async end() {
      for (const { child } of running.values()) {
        expectedEnds.add(child);
        if (child.exitCode !== null || child.signalCode !== null) continue;
        const exit = once(child, 'exit');
        child.kill('SIGCONT');
        child.kill('SIGKILL');
        await exit;
      }
      rmSync(folder, { recursive: true, force: true });
    },
  };
}

/** Writes `record.txt`; times are in seconds since the start of the case. */
export function createRecord(path) {
  const startedAt = performance.now();
  const lines = [];
  return {
    seconds: () => (performance.now() - startedAt) / 1000,
    line: (text) => {
      lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3).padStart(8)} ${text}`);
    },
    save: () => writeFileSync(path, `${lines.join('\n')}\n`),
  };
}

/** Loopback networks 127.N.0.0 among which a case chooses a free one. */
const FIRST_NET = 130;
const LAST_NET = 249;

/** Reserves a loopback network by a listener in it, so that cases can run beside each other. */
async function reserveNet() {
  for (let tries = 0; tries < LAST_NET - FIRST_NET; tries += 1) {
    const net = randomInt(FIRST_NET, LAST_NET + 1);
    const server = createServer();
    server.listen(7999, `127.${net}.0.250`);
    const isFree = await once(server, 'listening').then(
      () => true,
      () => false,
    );
    // The listener ends with this process.
    if (isFree) return { net };
  }
  throw new Error('no loopback network is free');
}

/** Runs a case; exits with 0 if the rule held, {@link BROKEN_EXIT_CODE} if it was broken, else 2. */
export async function runCase(recordUrl, play) {
  const record = createRecord(fileURLToPath(recordUrl));
  const deployment = createDeployment(record);
  const trouble = process.env.TROUBLE !== '0';
  const untilTrafficStarts = async () =>
    pause(Math.max(0, LEAD_MILLISECONDS - record.seconds() * 1000));
  let code = 2;
  let timer;
  const limit = new Promise((resolve) => {
    timer = setTimeout(resolve, LONGEST_CASE_MILLISECONDS, null);
  });
  try {
    record.line(trouble ? 'case: with the disruption' : 'case: without the disruption');
    const { net } = await reserveNet();
    const host = (number) => `127.${net}.0.${number}`;
    const setup = { record, deployment, trouble, host, untilTrafficStarts };
    const result = await Promise.race([play(setup), limit]);
    if (result === null) throw new Error('the case took too long');
    record.line(result.broken ? `rule broken: ${result.detail}` : `rule held: ${result.detail}`);
    code = result.broken ? BROKEN_EXIT_CODE : 0;
  } catch (error) {
    record.line(
      `the case could not run: ${error instanceof Error ? error.message : String(error)}`,
    );
  }
  clearTimeout(timer);
  await deployment.end();
  record.save();
  process.exit(code);
}
