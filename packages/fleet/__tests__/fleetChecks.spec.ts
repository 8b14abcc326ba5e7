import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { formatFieldIssue } from '@burdockrail/common/fieldIssue.js';
import { checkFleet } from '../src/fleetChecks.js';
import { sampleFleet, sampleService } from './sampleFleet.js';

function issueLines(document: unknown): readonly string[] {
  const check = checkFleet(document);
  return check.kind === 'valid' ? [] : check.issues.map(formatFieldIssue);
}

describe('checkFleet', () => {
  it('accepts a valid fleet', () => {
    assert.deepEqual(issueLines(sampleFleet()), []);
  });

  it('reports each invalid field with the expected and the found value', () => {
    const document = {
      ...sampleFleet(),
      services: [{ ...sampleService('till'), home: 3, hom: 1 }],
    };
    assert.deepEqual(issueLines(document), [
      '405 FleetFieldInvalid: services[till].home: expected string, found 3',
      '405 FleetFieldInvalid: services[till].hom: expected no field of this name, found 1',
    ]);
  });

  const cases: readonly [string, object, readonly string[]][] = [
    [
      'a data centre that is not declared',
      { home: 'south', upstreams: { north: 1, west: 1 } },
      [
        '407 FleetDataCentreUnknown: services[till].home: expected one of the data centres north, south2, found south',
        '407 FleetDataCentreUnknown: services[till].upstreams.west: expected one of the data centres north, south2, found west',
        '408 FleetHomeWithoutUpstreams: services[till].upstreams.south: expected at least 1 upstream in the home data centre, which goes on when it is cut off, found 0',
      ],
    ],
    [
      'a model without weights',
      { kind: 'model', weights: undefined },
      [
        '409 FleetWeightsMissing: services[till].weights: expected a version, because the service is a model, found nothing',
      ],
    ],
    [
      'a plain service with weights',
      { weights: { model: 'till', version: '1' } },
      [
        '410 FleetWeightsNotAllowed: services[till].weights: expected nothing, because the service is plain, found a version',
      ],
    ],
    [
      'a repeatable route inside a non-repeatable one',
      {
        routes: [
          { method: 'POST', path: '/', repeatable: true },
          { method: 'POST', path: '/deposits/', repeatable: false },
          { method: 'POST', path: '/deposits/quotes', repeatable: true },
          { method: 'POST', path: '/depositslip', repeatable: true },
        ],
      },
      [
        '411 FleetRoutesConflict: services[till].routes[POST /deposits/quotes].repeatable: expected false, as for POST /deposits/ around it, found true',
      ],
    ],
    [
      'the same route twice',
      {
        routes: [
          { method: 'POST', path: '/deposits', repeatable: false },
          { method: 'POST', path: '/deposits/', repeatable: false },
        ],
      },
      [
        '406 FleetNameRepeated: services[till].routes[POST /deposits]: expected each method and path once, found it 2 times',
      ],
    ],
  ];
  for (const [name, change, expected] of cases) {
    it(`rejects ${name}`, () => {
      const services = [{ ...sampleService('till'), ...change }];
      assert.deepEqual(issueLines({ ...sampleFleet(), services }), expected);
    });
  }

  it('rejects repeated names and a fleet without teams', () => {
    const services = [sampleService('till'), sampleService('till')];
    assert.deepEqual(issueLines({ ...sampleFleet(), services, teams: [] }), [
      '406 FleetNameRepeated: services[till]: expected a name that no other element of the list has, found it 2 times',
      '413 FleetNoTeams: teams: expected at least one team, because requests of unknown teams are refused, found []',
    ]);
  });

  it('rejects two digests of one version', () => {
    const weights = { model: 'words', version: '1', digest: 'a'.repeat(64) };
    const services = [
      { ...sampleService('one'), kind: 'model', weights },
      { ...sampleService('two'), kind: 'model', weights: { ...weights, digest: 'b'.repeat(64) } },
    ];
    assert.deepEqual(issueLines({ ...sampleFleet(), services }), [
      `412 FleetVersionAmbiguous: services[two].weights.digest: expected ${'a'.repeat(64)}, the digest of words@1 elsewhere in the fleet, found ${'b'.repeat(64)}`,
    ]);
  });
});
