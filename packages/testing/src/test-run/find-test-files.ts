/** Finds the compiled test files of all packages. */
import { existsSync, readdirSync } from 'node:fs';
import { join } from 'node:path';

/** The folder of all packages, below the root. */
export const PACKAGES_FOLDER = 'packages';
const TEST_SUFFIX = '.test.js';

/** Paths of the test files in the `dist` folder of each package, sorted by path. */
export function findTestFiles(root = '.'): string[] {
  const packages = join(root, PACKAGES_FOLDER);
  return readdirSync(packages)
    .map((name) => join(packages, name, 'dist'))
    .filter((folder) => existsSync(folder))
    .flatMap(testFilesIn)
    .sort();
}

function testFilesIn(folder: string): string[] {
  return readdirSync(folder, { encoding: 'utf8', recursive: true })
    .filter((path) => path.endsWith(TEST_SUFFIX))
    .map((path) => join(folder, path));
}
