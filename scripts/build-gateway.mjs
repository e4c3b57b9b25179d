/**
 * Bundles the gateway of the platform into one small file. A restarted gateway
 * serves nobody before this file is compiled and run, so unused code is left out.
 */
import {fileURLToPath} from 'node:url';
import {build} from 'esbuild';

const toPath = (relative) =>
	fileURLToPath(new URL(`../${relative}`, import.meta.url));

/** Libraries in CommonJS call `require`, which modules do not have. */
const requireBanner =
	"import{createRequire}from'node:module';const require=createRequire(import.meta.url);";

await build({
	entryPoints: [toPath('platform/src/main.ts')],
	outfile: toPath('target/gateway.mjs'),
	bundle: true,
	minify: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	logLevel: 'warning',
	banner: {js: requireBanner},
	alias: {
		bramleystage: toPath('packages/bramleystage/src/index.ts'),
		'bramleystage-gateway': toPath(
			'packages/bramleystage-gateway/src/index.ts',
		),
		// For Node the package names its CommonJS build, of which nothing can be left out.
		rxjs: toPath('node_modules/rxjs/dist/esm/index.js'),
	},
});
