import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createAnnouncer, type AnnouncementBody } from '../src/announcerState.js';

const entries = [
  { name: 'entry-1', dataCentre: 'sul-lagoa' },
  { name: 'entry-2', dataCentre: 'sul-lagoa' },
  { name: 'entry-3', dataCentre: 'sul-lagoa' },
  { name: 'entry-4', dataCentre: 'serra-leste' },
];

function bodyOf(change: Partial<AnnouncementBody> = {}): AnnouncementBody {
  return {
    agent: 'agent-1',
    incarnation: 'i1',
    dataCentre: 'sul-lagoa',
    region: 'sul',
    address: { host: '127.0.0.1', port: 1 },
    service: 'fogo-llm',
    state: 'present',
    ready: true,
    load: { running: 0, waiting: 0, capacity: 8, cacheUse: 0 },
    prefixes: [],
    ...change,
  };
}

const fullLoad = { running: 8, waiting: 0, capacity: 8, cacheUse: 0 };

function createAcknowledgedAnnouncer() {
  const announcer = createAnnouncer('agent-1', 'sul-lagoa', entries);
  const registrars = announcer.messages(bodyOf(), 0).map((message) => message.registrar);
  for (const registrar of registrars) announcer.recordAcknowledgement(registrar, 1);
  return { announcer, registrars };
}

describe('an announcer', () => {
  it('announces to two entries of its data centre and then renews', () => {
    const { announcer, registrars } = createAcknowledgedAnnouncer();
    assert.equal(new Set(registrars).size, 2);
    assert.ok(!registrars.includes('entry-4'));
    const kinds = announcer.messages(bodyOf(), 400).map((message) => message.kind);
    assert.deepEqual(kinds, ['renew', 'renew']);
  });

  it('sends a changed load to one registrar, at most once per interval', () => {
    const { announcer, registrars } = createAcknowledgedAnnouncer();
    const beforeInterval = announcer.messages(bodyOf({ load: fullLoad }), 400);
    assert.deepEqual(
      beforeInterval.map((message) => message.kind),
      ['renew', 'renew'],
    );
    const afterInterval = announcer.messages(bodyOf({ load: fullLoad }), 1_200);
    assert.deepEqual(
      afterInterval.map((message) => message.kind),
      ['load', 'renew'],
    );
    announcer.recordAcknowledgement(registrars[0] ?? '', 2);
    const afterAcknowledgement = announcer.messages(bodyOf({ load: fullLoad }), 1_600);
    assert.deepEqual(
      afterAcknowledgement.map((message) => message.kind === 'renew' && message.renewal.sequence),
      [2, 1],
    );
  });

  it('announces a departure in full and at once', () => {
    const { announcer } = createAcknowledgedAnnouncer();
    const messages = announcer.messages(bodyOf({ state: 'leaving', load: fullLoad }), 10);
    assert.deepEqual(
      messages.map((message) => message.kind),
      ['announce', 'announce'],
    );
  });

  it('replaces a registrar that does not answer', () => {
    const { announcer, registrars } = createAcknowledgedAnnouncer();
    announcer.recordFailure(registrars[0] ?? '', 'unreachable', 400);
    const messages = announcer.messages(bodyOf(), 400);
    const newRegistrars = messages.map((message) => message.registrar);
    assert.equal(new Set(newRegistrars).size, 2);
    assert.ok(!newRegistrars.includes(registrars[0] ?? ''));
    assert.ok(messages.every((message) => message.kind === 'announce'));
  });
});
