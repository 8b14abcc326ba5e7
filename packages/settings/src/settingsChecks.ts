import {
  formatFoundValue,
  toFieldIssues,
  type FieldIssue,
} from '@burdockrail/common/fieldIssue.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { findRepeatedStrings } from '@burdockrail/common/strings.js';
import { settingsSchema, type PeerSettings, type Settings } from './settingsSchema.js';

/** Result of {@link checkSettings}. */
export type SettingsCheck =
  | { readonly kind: 'valid'; readonly settings: Settings }
  | { readonly kind: 'invalid'; readonly issues: readonly FieldIssue[] };

/** Role that a process can have in the list of peers. */
type PeerRole = PeerSettings['roles'][number];

type Address = Settings['listen'];

type CrossCheck = (settings: Settings) => readonly FieldIssue[];

/**
 * Validates a parsed document as the settings of a process.
 *
 * @returns the settings with defaults applied, or all issues found. Checks across fields run only
 * if each field is valid by itself.
 */
export function checkSettings(document: unknown): SettingsCheck {
  const parsed = settingsSchema.safeParse(document);
  if (!parsed.success) {
    const issues = toFieldIssues(ResultCode.SettingsFieldInvalid, document, parsed.error.issues);
    return { kind: 'invalid', issues };
  }
  const issues = crossChecks.flatMap((check) => check(parsed.data));
  return issues.length > 0 ? { kind: 'invalid', issues } : { kind: 'valid', settings: parsed.data };
}

const peerRoles: readonly PeerRole[] = ['entry', 'control'];

function peerRolesOf(settings: Settings): readonly PeerRole[] {
  return peerRoles.filter((role) => settings[role] !== undefined);
}

function formatAddress({ host, port }: Address): string {
  return `${host}:${port}`;
}

const checkHasRole: CrossCheck = (settings) => {
  if (peerRolesOf(settings).length > 0 || settings.agent !== undefined) return [];
  return [
    {
      code: ResultCode.SettingsNoRole,
      path: '(root)',
      expected: 'at least one of the fields entry, control, agent',
      found: 'none of them',
    },
  ];
};

const checkSelfListed: CrossCheck = (settings) => {
  const roles = peerRolesOf(settings);
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

// Other processes rely on their own copy of the list. Comparing this copy with the settings finds
// mistakes before the process serves under an address or role that the other processes don't know.
const checkSelfMatches: CrossCheck = (settings) => {
  const self = settings.peers.find((peer) => peer.name === settings.name);
  if (self === undefined) return [];
  const advertised = settings.advertise ?? settings.listen;
  const comparisons: readonly (readonly [string, string, string])[] = [
    ['dataCentre', settings.dataCentre, self.dataCentre],
    [
      'roles',
      peerRolesOf(settings).join(','),
      peerRoles.filter((role) => self.roles.includes(role)).join(','),
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
      expected: `${expected} as in the settings of this process`,
      found,
    }));
};

const checkRegistrarListed: CrossCheck = (settings) => {
  const { agent, dataCentre, peers } = settings;
  const hasEntry = peers.some(
    (peer) => peer.dataCentre === dataCentre && peer.roles.includes('entry'),
  );
  if (agent === undefined || hasEntry) return [];
  return [
    {
      code: ResultCode.SettingsPeerMissing,
      path: 'peers',
      expected: `an entry of the data centre ${dataCentre}, as registrar of the agent`,
      found: formatFoundValue(peers.map((peer) => peer.name)),
    },
  ];
};

const checkNamesUnique: CrossCheck = ({ peers }) =>
  findRepeatedStrings(peers.map((peer) => peer.name)).map(({ text, count }) => ({
    code: ResultCode.SettingsNameRepeated,
    path: `peers[${text}]`,
    expected: 'a name that no other peer has',
    found: `${count} peers of this name`,
  }));

const checkAddressesUnique: CrossCheck = ({ peers, listen, entry }) => {
  const peerAddresses = peers.map((peer) => ({
    path: `peers[${peer.name}].address`,
    address: formatAddress(peer.address),
  }));
  const conflicts = peerAddresses.flatMap((peer, index) => {
    const other = peerAddresses.slice(0, index).find(({ address }) => address === peer.address);
    return other === undefined
      ? []
      : [{ path: peer.path, otherPath: other.path, found: peer.address }];
  });
  if (entry !== undefined && entry.http.port !== 0) {
    const found = formatAddress(entry.http);
    if (found === formatAddress(listen)) {
      conflicts.push({ path: 'entry.http', otherPath: 'listen', found });
    }
  }
  return conflicts.map((conflict) => ({
    code: ResultCode.SettingsAddressRepeated,
    path: conflict.path,
    expected: `an address other than ${conflict.otherPath}`,
    found: conflict.found,
  }));
};

const checkWeightSources: CrossCheck = ({ agent }) => {
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
  checkHasRole,
  checkSelfListed,
  checkSelfMatches,
  checkRegistrarListed,
  checkNamesUnique,
  checkAddressesUnique,
  checkWeightSources,
];
