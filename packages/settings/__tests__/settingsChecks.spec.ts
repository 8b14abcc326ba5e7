import assert from 'node:assert/strict';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { formatFieldIssue } from '@burdockrail/common/fieldIssue.js';
import { checkSettings } from '../src/settingsChecks.js';
import { settingsDefaultsYaml } from '../src/settingsDefaults.js';
import { parseSettings, readSettings } from '../src/settingsFile.js';

const listen = { host: '10.0.0.1', port: 7100 };
const selfPeer = { name: 'one', dataCentre: 'north', roles: ['entry', 'control'], address: listen };
const otherPeer = {
  name: 'two',
  dataCentre: 'south',
  roles: ['entry'],
  address: { host: '10.0.0.2', port: 7100 },
};
const baseSettings = {
  name: 'one',
  dataCentre: 'north',
  region: 'coast',
  listen,
  peers: [selfPeer, otherPeer],
  entry: { http: { host: '10.0.0.1', port: 8080 } },
  control: { dataFolder: 'data' },
};
const agent = {
  name: 'agent-1',
  dataCentre: 'north',
  region: 'coast',
  listen: { host: '10.0.0.9', port: 7100 },
  peers: [selfPeer],
  agent: { service: 'assistant', upstream: { kind: 'model', url: 'http://10.0.0.9:9000' } },
};

function issueLines(document: unknown): readonly string[] {
  const check = checkSettings(document);
  return check.kind === 'valid' ? [] : check.issues.map(formatFieldIssue);
}

describe('checkSettings', () => {
  it('accepts valid settings and applies defaults', () => {
    const check = checkSettings(baseSettings);
    assert.equal(check.kind, 'valid');
    assert.equal(check.settings.drainMilliseconds, 30_000);
    assert.deepEqual(check.settings.log, { format: 'json', level: 'info' });
  });

  const cases: readonly [string, object, readonly string[]][] = [
    [
      'unknown keys and host names',
      { ...baseSettings, drain: 5, listen: { host: 'localhost', port: 7100 } },
      [
        '420 SettingsFieldInvalid: listen.host: expected an IP address, found "localhost"',
        '420 SettingsFieldInvalid: drain: expected no field of this name, found 5',
      ],
    ],
    [
      'an upstream URL with a host name',
      { ...agent, agent: { ...agent.agent, upstream: { kind: 'plain', url: 'http://engine:1' } } },
      [
        '420 SettingsFieldInvalid: agent.upstream.url: expected an IP address instead of a host name, found "http://engine:1"',
      ],
    ],
    [
      'a process without a role',
      { ...baseSettings, entry: undefined, control: undefined, peers: [otherPeer] },
      [
        '421 SettingsNoRole: (root): expected at least one of the fields entry, control, agent, found none of them',
      ],
    ],
    [
      'peers without the process itself',
      { ...baseSettings, peers: [otherPeer] },
      [
        '422 SettingsPeerMissing: peers[one]: expected this process with the roles entry, control, found nothing',
      ],
    ],
    [
      'peers that differ from the settings of the process',
      {
        ...baseSettings,
        peers: [{ ...selfPeer, dataCentre: 'south', roles: ['entry'] }, otherPeer],
      },
      [
        '426 SettingsPeerDiffers: peers[one].dataCentre: expected north as in the settings of this process, found south',
        '426 SettingsPeerDiffers: peers[one].roles: expected entry,control as in the settings of this process, found entry',
      ],
    ],
    [
      'repeated names and addresses',
      {
        ...baseSettings,
        entry: { http: listen },
        peers: [selfPeer, otherPeer, { ...otherPeer, roles: ['control'] }],
      },
      [
        '423 SettingsNameRepeated: peers[two]: expected a name that no other peer has, found 2 peers of this name',
        '425 SettingsAddressRepeated: peers[two].address: expected an address other than peers[two].address, found 10.0.0.2:7100',
        '425 SettingsAddressRepeated: entry.http: expected an address other than listen, found 10.0.0.1:7100',
      ],
    ],
    [
      'a model agent without weight sources and without an entry in its data centre',
      { ...agent, dataCentre: 'west' },
      [
        '422 SettingsPeerMissing: peers: expected an entry of the data centre west, as registrar of the agent, found ["one"]',
        '424 SettingsSourceMissing: agent.weightStore: expected a URL, because the upstream is a model, found nothing',
        '424 SettingsSourceMissing: agent.origin: expected a URL, because the upstream is a model, found nothing',
      ],
    ],
  ];
  for (const [name, document, expected] of cases) {
    it(`rejects ${name}`, () => {
      assert.deepEqual(issueLines(document), expected);
    });
  }
});

describe('settings files', () => {
  it('resolve a relative data folder against the folder of the file', async () => {
    const folder = await mkdtemp(join(tmpdir(), 'burdockrail-'));
    try {
      const path = join(folder, 'one.yaml');
      await writeFile(path, JSON.stringify(baseSettings));
      const read = await readSettings(path);
      assert.equal(read.kind, 'success');
      assert.equal(read.value.control?.dataFolder, join(folder, 'data'));
    } finally {
      await rm(folder, { recursive: true });
    }
  });

  it('give a result code if they are missing or not YAML', async () => {
    const missing = await readSettings('/missing.yaml');
    assert.equal(missing.kind === 'failure' && missing.code, 403);
    const malformed = parseSettings('name: [');
    assert.equal(malformed.kind === 'failure' && malformed.code, 402);
  });
});

describe('settingsDefaultsYaml', () => {
  it('lists every default', () => {
    assert.match(settingsDefaultsYaml(), /^ {2}plan: swarm$/mu);
    assert.match(settingsDefaultsYaml(), /^drainMilliseconds: 30000$/mu);
  });
});
