import { spawn } from 'node:child_process';
import { randomInt } from 'node:crypto';
import { once } from 'node:events';
import { mkdir, mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

/** Root of the repository, in which the programs start. */
const repository = fileURLToPath(new URL('../..', import.meta.url));

/** Ports are the same on all machines; the internal ports are a range of its own. */
const ports = {
  control: 8000,
  front: 8005,
  ready: 8002,
  internal: 7700,
  runner: 8001,
  origin: 8006,
};

/** Bounds of the sheet of jangada-rail. */
const bounds = {
  seed_lag_s: 3,
  addr_reuse_s: 2,
  contact_ms: 3000,
  ack_ms: 4000,
  catch_up_s: 4,
  drain_ms: 2000,
  grace_s: 8,
  lost_slack_ms: 200,
  config_apply_ms: 2000,
  rollback_slack_ms: 250,
  max_stretch_ms: 5000,
  revoke_fail_closed: true,
  revoke_ms: 5000,
  retry_budget_ratio: 0.2,
  budget_window_s: 10,
  retry_budget_slack: 236,
  recover_s: 12,
  pass_ms: 120,
  again_s: 0,
  version_ms: 8000,
  version_all_ms: 0,
};

/** Machine classes of the sheet: memory, descriptors, link. */
const machines = {
  front: { memory: 272, descriptors: 2069, link: 490 },
  core: { memory: 346, descriptors: 4096, link: 170 },
  side: { memory: 218, descriptors: 1494, link: 5.11 },
};

/** Reads the `run` command of each role from the deploy file, by its class of machines. */
async function deployedCommands() {
  const text = await readFile(join(repository, 'deploy/system.toml'), 'utf8');
  const commands = {};
  for (const section of text.split(/^\[roles\./mu).slice(1)) {
    const run = /^run = "(.+)"$/mu.exec(section)?.[1];
    const machineClass = /^on = "(.+)"$/mu.exec(section)?.[1];
    if (run === undefined || machineClass === undefined) throw new Error('deploy file: no role');
    commands[machineClass] = run.split(' ');
  }
  return commands;
}

/** Tells whether nothing listens at an address. */
async function isFree(host, port) {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Chooses a loopback network whose first machine has the ports free. */
async function chooseNetwork() {
  for (let attempt = 0; attempt < 50; attempt += 1) {
    const network = `127.${randomInt(100, 250)}.${randomInt(1, 250)}`;
    const free = await Promise.all(
      Object.values(ports).map(async (port) => isFree(`${network}.11`, port)),
    );
    if (free.every(Boolean)) return network;
  }
  throw new Error('no free loopback network');
}

/**
 * Starts three control processes, the entries, and an agent beside each engine.
 *
 * @param options.entries - number of entries.
 * @param options.engines - number of hosts with an agent.
 */
export async function startDeployment({ entries = 2, engines = 0, engineService = 'engines' }) {
  const commands = await deployedCommands();
  const network = await chooseNetwork();
  const folder = await mkdtemp(join(tmpdir(), 'review-3-'));
  const children = new Map();
  const logs = new Map();
  const seeds = [11, 12, 13].map((host) => `${network}.${host}:${ports.control}`);

  const settings = (name, machineClass, host, lines) => {
    const { memory, descriptors, link } = machines[machineClass];
    return [
      `node_name=${name}`,
      `role=${machineClass}`,
      `machine_class=${machineClass}`,
      `ip=${host}`,
      'zone=north-a',
      'region=north',
      'zones.north-a=north',
      `internal_ports=${ports.internal},${ports.internal + 15}`,
      `seed_nodes=${seeds.join(',')}`,
      'bootstrap=true',
      `in_tolerance=${machineClass === 'core'}`,
      'limits.cpu_share=0.459',
      'limits.cpu_cores=1',
      `limits.memory_mb=${memory}`,
      `limits.max_fds=${descriptors}`,
      `limits.link_mbps=${link}`,
      'discovery=registration',
      'entry=vip',
      'heartbeat_interval_ms=1200',
      'contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,chunks',
      'fault_tolerance.machines=1',
      'fault_tolerance.zones=1',
      'fault_tolerance.regions=0',
      ...Object.entries(bounds).map(([bound, value]) => `bounds.${bound}=${value}`),
      'config_mode=highest',
      ...lines,
    ].join('\n');
  };

  const start = (name) => {
    const machineClass = name.split('-')[0];
    const [command, ...words] = commands[machineClass];
    const child = spawn(command, words, {
      cwd: repository,
      env: { PATH: process.env.PATH, HOME: folder, BURDOCKRAIL_BOOT: join(folder, `${name}.conf`) },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    for (const stream of [child.stdout, child.stderr])
      stream.on('data', (bytes) => logs.set(name, (logs.get(name) ?? '') + String(bytes)));
    children.set(name, child);
  };

  const isRunning = (name) => {
    const child = children.get(name);
    return child !== undefined && child.exitCode === null && child.signalCode === null;
  };

  const add = async (name, host, lines) => {
    await writeFile(join(folder, `${name}.conf`), settings(name, name.split('-')[0], host, lines));
    start(name);
  };

  const hostOf = (number) => `${network}.${number}`;
  for (const number of [11, 12, 13]) {
    const name = `core-${number}`;
    const dataFolder = join(folder, `data-${name}`);
    await mkdir(dataFolder);
    await add(name, hostOf(number), [
      'serves=control',
      `listen.control=${hostOf(number)}:${ports.control}`,
      'limits.disk_mb=128',
      `data_dir=${dataFolder}`,
    ]);
  }
  const engineHosts = Array.from({ length: engines }, (_value, index) => hostOf(31 + index));
  for (const [index, host] of engineHosts.entries())
    await add(`side-${index + 1}`, host, [
      'serves=side',
      `app=${host}:${ports.runner}`,
      `service=${engineService}`,
    ]);
  const fronts = Array.from({ length: entries }, (_value, index) => hostOf(21 + index));
  for (const [index, host] of fronts.entries())
    await add(`front-${index + 1}`, host, [
      'serves=front',
      `listen.front=${host}:${ports.front}`,
      `listen.ready=${host}:${ports.ready}`,
    ]);

  return {
    ports,
    bounds,
    controls: seeds,
    fronts: fronts.map((host) => `${host}:${ports.front}`),
    engineHosts,
    hostOf,
    names: () => [...children.keys()],
    isRunning,
    log: (name) => logs.get(name) ?? '',
    signal: (name, signal) => children.get(name)?.kill(signal),
    start,
    /** Sends a signal and waits for the exit of the process. */
    stop: async (name, signal) => {
      const child = children.get(name);
      if (!isRunning(name)) return;
      const exit = once(child, 'exit');
      child.kill(signal);
      await exit;
    },
    close: async () => {
      for (const [name, child] of children)
        if (isRunning(name)) {
          const exit = once(child, 'exit');
          child.kill('SIGKILL');
          await exit;
        }
      await rm(folder, { recursive: true, force: true });
    },
  };
}
