/**
 * Builds the gateway of the platform: its bundle, the code that V8 makes of it,
 * and the launcher that runs both. To be run with the flags of the gateway
 * itself, as V8 takes no code that was made under others. An argument names the
 * directory to write to.
 */
import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import v8 from 'node:v8';
import {Script} from 'node:vm';
import {build, transform} from 'esbuild';

const toPath = (relative) =>
	fileURLToPath(new URL(`../${relative}`, import.meta.url));

/**
 * Bundles a module as CommonJS. It takes two steps, since modules of which
 * nothing is used, and which are left out only then, have an `await` at their
 * top level.
 */
async function buildCommonJs(entryPoint) {
	const {outputFiles} = await build({
		entryPoints: [toPath(entryPoint)],
		bundle: true,
		minify: true,
		platform: 'node',
		target: 'node20',
		format: 'esm',
		logLevel: 'warning',
		write: false,
		// The bundle has no place for the native part of cbor-x.
		define: {'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"'},
		alias: {
			bramleystage: toPath('packages/bramleystage/src/index.ts'),
			'bramleystage-gateway': toPath(
				'packages/bramleystage-gateway/src/index.ts',
			),
			// For Node the package names its CommonJS build, of which nothing can be left out.
			rxjs: toPath('node_modules/rxjs/dist/esm/index.js'),
		},
	});
	const {code} = await transform(outputFiles[0].text, {
		minify: true,
		format: 'cjs',
		platform: 'node',
	});
	return code;
}

/** Builds the cached code of all functions, also of those that nothing has called yet. */
function buildCachedData(text, filename) {
	v8.setFlagsFromString('--no-lazy');
	const script = new Script(text, {filename});
	v8.setFlagsFromString('--lazy');
	return script.createCachedData();
}

const bundle = await buildCommonJs('platform/src/main.ts');
const code = `(function(module,require){${bundle}\n})`;
const directory = path.resolve(process.argv[2] ?? toPath('target'));
const codePath = path.join(directory, 'gateway-code.js');
mkdirSync(directory, {recursive: true});
writeFileSync(codePath, code);
writeFileSync(`${codePath}.cache`, buildCachedData(code, codePath));
writeFileSync(
	path.join(directory, 'gateway.cjs'),
	await buildCommonJs('platform/src/launch.ts'),
);
