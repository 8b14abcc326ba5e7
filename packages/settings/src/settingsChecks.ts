import { describeFound, fieldIssues, type FieldIssue } from '@burdockrail/common/fieldIssue.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { repeatedTexts } from '@burdockrail/common/textOrder.js';
import { settingsSchema, type PeerSettings, type Settings } from './settingsSchema.js';

/** Result of {@link checkSettings}. */
export type SettingsCheck =
  | { readonly kind: 'valid'; readonly settings: Settings }
  | { readonly kind: 'invalid'; readonly issues: readonly FieldIssue[] };

/** Role that a process is listed with in the peers. */
type ListedRole = PeerSettings['roles'][number];

type Address = Settings['listen'];

type CrossCheck = (settings: Settings) => readonly FieldIssue[];

/**
 * Checks anything that should be the settings of a process.
 *
 * @returns the settings with their defaults, or every fault that was found. Faults between fields
 * are looked for only once each field by itself is right.
 */
export function checkSettings(document: unknown): SettingsCheck {
  const parsed = settingsSchema.safeParse(document);
  if (!parsed.success) {
    const issues = fieldIssues(ResultCode.SettingsFieldInvalid, document, parsed.error.issues);
    return { kind: 'invalid', issues };
  }
  const issues = crossChecks.flatMap((check) => check(parsed.data));
  return issues.length > 0 ? { kind: 'invalid', issues } : { kind: 'valid', settings: parsed.data };
}

const roleOrder: readonly ListedRole[] = ['entry', 'control'];

function listedRoles(settings: Settings): readonly ListedRole[] {
  return roleOrder.filter((role) => settings[role] !== undefined);
}

function formatAddress({ host, port }: Address): string {
  return `${host}:${port}`;
}

const missingRole: CrossCheck = (settings) => {
  if (listedRoles(settings).length > 0 || settings.agent !== undefined) return [];
  return [
    {
      code: ResultCode.SettingsNoRole,
      path: '(root)',
      expected: 'at least one of the fields entry, control, agent',
      found: 'none of them',
    },
  ];
};

const missingSelf: CrossCheck = (settings) => {
  const roles = listedRoles(settings);
  if (roles.length === 0 || settings.peers.some((peer) => peer.name === settings.name)) return [];
  return [
    {
      code: ResultCode.SettingsPeerMissing,
      path: `peers[${settings.name}]`,
      expected: `this process with the roles ${roles.join(', ')}`,
      found: 'nothing',
    },
  ];
};

// Other processes trust their copy of the list, so that a copy that differs here shows a mistake
// before the process answers under a place or role that nobody else knows.
const differingSelf: CrossCheck = (settings) => {
  const self = settings.peers.find((peer) => peer.name === settings.name);
  if (self === undefined) return [];
  const advertised = settings.advertise ?? settings.listen;
  const comparisons: readonly (readonly [string, string, string])[] = [
    ['dataCentre', settings.dataCentre, self.dataCentre],
    [
      'roles',
      listedRoles(settings).join(','),
      roleOrder.filter((role) => self.roles.includes(role)).join(','),
    ],
    ...(advertised.port === 0
      ? []
      : [['address', formatAddress(advertised), formatAddress(self.address)] as const]),
  ];
  return comparisons
    .filter(([, expected, found]) => expected !== found)
    .map(([field, expected, found]) => ({
      code: ResultCode.SettingsPeerDiffers,
      path: `peers[${settings.name}].${field}`,
      expected: `${expected}, as this process has it`,
      found,
    }));
};

const missingRegistrar: CrossCheck = (settings) => {
  const { agent, dataCentre, peers } = settings;
  const hasEntry = peers.some(
    (peer) => peer.dataCentre === dataCentre && peer.roles.includes('entry'),
  );
  if (agent === undefined || hasEntry) return [];
  return [
    {
      code: ResultCode.SettingsPeerMissing,
      path: 'peers',
      expected: `an entry of the data centre ${dataCentre}, to which the agent announces itself`,
      found: describeFound(peers.map((peer) => peer.name)),
    },
  ];
};

const repeatedNames: CrossCheck = ({ peers }) =>
  repeatedTexts(peers.map((peer) => peer.name)).map(({ text, count }) => ({
    code: ResultCode.SettingsNameRepeated,
    path: `peers[${text}]`,
    expected: 'a name that no other peer has',
    found: `it ${count} times`,
  }));

const repeatedAddresses: CrossCheck = ({ peers, listen, entry }) => {
  const places = peers.map((peer) => ({
    path: `peers[${peer.name}].address`,
    address: formatAddress(peer.address),
  }));
  const clashes = places.flatMap((place, position) => {
    const other = places.slice(0, position).find(({ address }) => address === place.address);
    return other === undefined
      ? []
      : [{ path: place.path, with: other.path, found: place.address }];
  });
  if (entry !== undefined && entry.http.port !== 0) {
    const found = formatAddress(entry.http);
    if (found === formatAddress(listen)) {
      clashes.push({ path: 'entry.http', with: 'listen', found });
    }
  }
  return clashes.map((clash) => ({
    code: ResultCode.SettingsAddressRepeated,
    path: clash.path,
    expected: `another address than ${clash.with}`,
    found: clash.found,
  }));
};

const missingSources: CrossCheck = ({ agent }) => {
  if (agent?.upstream.kind !== 'model') return [];
  const fields = ['weightStore', 'origin'] as const;
  return fields
    .filter((field) => agent[field] === undefined)
    .map((field) => ({
      code: ResultCode.SettingsSourceMissing,
      path: `agent.${field}`,
      expected: 'a URL, because the upstream is a model',
      found: 'nothing',
    }));
};

const crossChecks: readonly CrossCheck[] = [
  missingRole,
  missingSelf,
  differingSelf,
  missingRegistrar,
  repeatedNames,
  repeatedAddresses,
  missingSources,
];
