/** Runs the test files that are named, and passes over the failures in KNOWN-RED.txt alone. */
import { existsSync, readFileSync } from 'node:fs';
import { run } from 'node:test';
import { tap } from 'node:test/reporters';
import { compareWithKnownRed, formatKnownRed, parseKnownRed } from './known-red.js';

const LIST = 'KNOWN-RED.txt';

const known = existsSync(LIST) ? parseKnownRed(readFileSync(LIST, 'utf8')) : [];
const failed = new Set<string>();
let passed = 0;

const print = (text: string): void => void process.stdout.write(`${text}\n`);

function finish(): void {
  const { unexpected, expected, outdated } = compareWithKnownRed(known, failed);
  for (const red of expected) print(`known red: ${formatKnownRed(red)}`);
  for (const red of outdated) print(`passes, remove it from ${LIST}: ${formatKnownRed(red)}`);
  for (const test of unexpected) print(`failed: ${test}`);
  if (passed === 0) print('no test passed');
  const fine = unexpected.length === 0 && outdated.length === 0 && passed > 0;
  process.exitCode = fine ? 0 : 1;
}

const events = run({ files: process.argv.slice(2), concurrency: true });
events.on('test:pass', () => passed++);
events.on('test:fail', ({ name }) => failed.add(name));
events.compose(tap).on('end', finish).pipe(process.stdout);
