import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  parseCatalog,
  parseChanges,
  parseCommitRevision,
  parseFailedPreconditions,
  parseItem,
  parseLeaseId,
  parseMachinePage,
  parseItems,
  parseRentedMachines,
} from '@tealdock/wire';
import { parseOrNull, parseResponse } from './call-results.js';
import type { CallResult } from './ports.js';

const response = (body: unknown, status = 200): CallResult => ({ kind: 'answer', status, body });
const identity = (body: unknown): unknown => body;

test('only a response with status 200 is parsed', () => {
  assert.deepEqual(parseResponse(response({ a: 1 }), identity), { a: 1 });
  assert.equal(parseResponse(response({ a: 1 }, 503), identity), null);
  assert.equal(parseResponse({ kind: 'lost' }, identity), null);
  assert.equal(parseResponse({ kind: 'unsent' }, identity), null);
});

test('a malformed body of any form counts as no response, for each parser', () => {
  // Each parser with a body that has the right fields, but one wrong value.
  const parsers: [(body: unknown) => unknown, unknown][] = [
    [parseCatalog, { flavours: [{ label: '' }] }],
    [parseChanges, { epoch: 1, news: [{ write: 'key', stamp: -1 }] }],
    [parseCommitRevision, { epoch: -1 }],
    [parseFailedPreconditions, { failed: [1] }],
    [parseItem, { key: 'key', v: 1, stamp: 0.5 }],
    [parseLeaseId, { tenancy: '1' }],
    [parseMachinePage, { hosts: [{}] }],
    [parseItems, { epoch: 1, items: [null] }],
    [parseRentedMachines, { hosts: [null] }],
  ];
  const bodies = [
    undefined,
    null,
    0,
    1n,
    'text',
    [],
    {},
    Buffer.from('{}'),
    new Map(),
    Symbol('s'),
  ];
  for (const [parse, wrongValue] of parsers) {
    for (const body of [...bodies, wrongValue]) {
      assert.equal(parseResponse(response(body), parse), null);
    }
  }
});

test('an error of the program is not taken for a malformed response', () => {
  const fail = () => {
    throw new TypeError('a fault');
  };
  assert.throws(() => parseOrNull(fail), TypeError);
});
