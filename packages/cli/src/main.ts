/** Entry point of the program. */
import { runCli } from './cli.js';

void runCli(process.argv);
